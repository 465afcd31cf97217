package hostnode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

var (
	planSeeds = flag.Uint64("plan.seeds", 8, "number of seeds of TestPlansUnderRandomFaults")
	planFirst = flag.Uint64("plan.first", 1, "first seed of TestPlansUnderRandomFaults")
)

const (
	// recoveryTime is how long after a disturbance the plan deadline holds again.
	recoveryTime = 3 * time.Second
	faultHosts   = 5
	faultRun     = time.Minute
)

// planFaults runs hosts under random faults and checks that the undisturbed ones have
// every version in time.
type planFaults struct {
	*fixture
	random *rand.Rand
	began  time.Time
	// storeDisturbedUntil and disturbedUntil are when the disturbances of the store and of
	// each host end.
	storeDisturbedUntil time.Time
	disturbedUntil      []time.Time
	versions            []writtenVersion
	copies              []standin.Copy
	history, late       []string
}

type writtenVersion struct {
	version uint64
	at      time.Time
}

func newPlanFaults(t *testing.T, seed uint64) *planFaults {
	p := &planFaults{fixture: newBubbleFixture(t), random: rand.New(rand.NewPCG(seed, 21)), began: time.Now(), disturbedUntil: make([]time.Time, faultHosts)}
	p.write()
	for i := range faultHosts {
		group := fmt.Sprintf("host-%c", 'a'+i)
		address := fmt.Sprintf("127.0.1.%d:1", i+1)
		p.dial = p.network.Dialer(address)
		h := p.addHost(group, "one")
		p.network.Group(group, address, h.address["peers"])
		p.disturb(i, 0)
	}
	p.network.Group("store", p.store.Address())
	return p
}

func (p *planFaults) logf(format string, args ...any) {
	p.history = append(p.history, fmt.Sprintf("%7.3f ", time.Since(p.began).Seconds())+fmt.Sprintf(format, args...))
}

// disturb records that a host is disturbed for d from now on.
func (p *planFaults) disturb(host int, d time.Duration) {
	if until := time.Now().Add(d); until.After(p.disturbedUntil[host]) {
		p.disturbedUntil[host] = until
	}
}

func (p *planFaults) disturbStore(d time.Duration) {
	if until := time.Now().Add(d); until.After(p.storeDisturbedUntil) {
		p.storeDisturbedUntil = until
	}
}

// write writes the next version, as the operator does.
func (p *planFaults) write() {
	version := uint64(1)
	if n := len(p.versions); n > 0 {
		version = p.versions[n-1].version + 1 + p.random.Uint64N(3)
	}
	p.store.Write(platform.ConfigKey, standin.Config(int(version), "one"))
	p.versions = append(p.versions, writtenVersion{version, time.Now()})
	p.logf("version %d", version)
}

func (p *planFaults) duration(longest time.Duration) time.Duration {
	return 100*time.Millisecond + time.Duration(p.random.Int64N(int64(longest)))
}

// inject begins a random fault.
func (p *planFaults) inject() {
	d, host := p.duration(4*time.Second), p.random.IntN(faultHosts)
	name := p.hosts[host].name
	switch p.random.IntN(10) {
	case 0:
		p.logf("all connections silent")
		p.network.Silence()
		for i := range faultHosts {
			p.disturb(i, 0)
		}
	case 1:
		p.logf("%s unreachable for the others for %v", name, d)
		for _, other := range p.hosts {
			if other.name != name {
				p.network.CutBoth(name, other.name)
			}
		}
		time.AfterFunc(d, func() {
			for _, other := range p.hosts {
				if other.name != name {
					p.network.Restore(name, other.name)
					p.network.Restore(other.name, name)
				}
			}
		})
	case 2:
		p.logf("%s cut from the store for %v", name, d)
		p.disturb(host, d)
		p.network.CutBoth(name, "store")
		time.AfterFunc(d, func() { p.network.Restore(name, "store"); p.network.Restore("store", name) })
	case 3:
		p.failStore(d, []standin.Fault{standin.Unavailable, standin.RateLimited, standin.ConnectionReset}[p.random.IntN(3)])
	case 4:
		p.logf("store silent for %v", d)
		p.disturbStore(d)
		for _, h := range p.hosts {
			p.network.CutBoth(h.name, "store")
		}
		time.AfterFunc(d, func() {
			for _, h := range p.hosts {
				p.network.Restore(h.name, "store")
				p.network.Restore("store", h.name)
			}
		})
	case 5:
		saved := p.copies[max(0, len(p.copies)-1-p.random.IntN(8))]
		p.logf("store restored from a copy")
		p.disturbStore(0)
		newest := p.versions[len(p.versions)-1].version
		p.store.Restore(saved, standin.Entry{Key: platform.ConfigKey, Value: standin.Config(int(newest), "one")})
	case 6:
		p.logf("%s restarts", name)
		p.disturb(host, 0)
		p.restart(p.hosts[host], host)
	case 7:
		p.failStore(d, standin.ResponseLost)
	case 8:
		p.logf("store slow for %v", d)
		p.disturbStore(d)
		for _, h := range p.hosts {
			p.delay("store", h.name, d, 250*time.Millisecond)
		}
	case 9:
		delay := p.duration(time.Second)
		p.logf("links of %s delayed by %v for %v", name, delay, d)
		p.disturb(host, d)
		for _, other := range p.hosts {
			if other.name != name {
				p.delay(name, other.name, d, delay)
				p.delay(other.name, name, d, delay)
			}
		}
	}
}

// delay delays the traffic from one group to another for d.
func (p *planFaults) delay(from, to string, d, delay time.Duration) {
	p.network.Delay(from, to, delay)
	time.AfterFunc(d, func() { p.network.Delay(from, to, 0) })
}

func (p *planFaults) failStore(d time.Duration, fault standin.Fault) {
	share := p.random.Float64()
	p.logf("store fault %d for %v, share %.2f", fault, d, share)
	p.disturbStore(d)
	failing := rand.New(rand.NewPCG(p.random.Uint64(), 1))
	p.store.SetFault(func(string) standin.Fault {
		if failing.Float64() < share {
			return fault
		}
		return standin.NoFault
	})
	time.AfterFunc(d, func() { p.store.SetFault(nil) })
}

// restart kills the process of a host and starts it again.
func (p *planFaults) restart(h *fixtureHost, host int) {
	h.kill()
	p.dial = p.network.Dialer(fmt.Sprintf("127.0.1.%d:1", host+1))
	time.Sleep(300 * time.Millisecond)
	p.disturb(host, 0)
	h.start()
}

// check records the undisturbed hosts that do not have a version in time.
func (p *planFaults) check() {
	now := time.Now()
	due := uint64(0)
	for _, v := range p.versions {
		if now.Sub(v.at) > planDeadline {
			due = v.version
		}
	}
	if now.Sub(p.storeDisturbedUntil) <= recoveryTime {
		return
	}
	for i, h := range p.hosts {
		if active := h.node.planKeeper.activeVersion(); active < due && now.Sub(p.disturbedUntil[i]) > recoveryTime {
			p.logf("%s has version %d, %d is due", h.name, active, due)
			p.late = append(p.late, p.history[len(p.history)-1])
		}
	}
}

func (p *planFaults) run() {
	next := time.Now().Add(recoveryTime)
	nextWrite := next
	for time.Since(p.began) < faultRun && len(p.late) == 0 {
		time.Sleep(50 * time.Millisecond)
		p.check()
		now := time.Now()
		if len(p.copies) == 0 || now.Sub(p.began) > time.Duration(len(p.copies))*time.Second {
			p.copies = append(p.copies, p.store.Copy())
		}
		if now.After(nextWrite) {
			p.write()
			nextWrite = now.Add(p.duration(4 * time.Second))
		}
		if now.After(next) {
			p.inject()
			next = now.Add(p.duration(6 * time.Second))
			if p.random.IntN(2) == 0 {
				nextWrite = now.Add(p.duration(time.Second))
			}
		}
	}
}

// Guards against undisturbed hosts that activate a version late after faults that meet.
func TestPlansUnderRandomFaults(t *testing.T) {
	for seed := *planFirst; seed < *planFirst+*planSeeds; seed++ {
		inBubble(t, fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := newPlanFaults(t, seed)
			defer func() {
				time.Sleep(5 * time.Second) // The faults end.
				p.close()
			}()
			p.run()
			if len(p.late) > 0 {
				t.Log(strings.Join(p.history[max(0, len(p.history)-25):], "\n"))
			}
			So(slices.Compact(p.late), ShouldBeEmpty)
		})
	}
}
