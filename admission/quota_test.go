package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// testDomain is a failure domain of controllers in virtual time. Its network loses
// and delays messages according to a seeded random source.
type testDomain struct {
	now          time.Time
	random       *rand.Rand
	loss         float64
	disconnected map[mesh.HostID]bool
	nodes        map[mesh.HostID]*Controller
	ids          []mesh.HostID
	inbox        []delayedMessage
	bytes        map[mesh.HostID]int
	customer     *lists.Customer
	route        *lists.Route
}

type delayedMessage struct {
	at       time.Time
	from, to mesh.HostID
	message  transport.Message
}

type fakeSender struct {
	domain *testDomain
	self   mesh.HostID
}

// headerBytes is the size of the CBOR frame, WebSocket and TCP headers of a
// message.
const headerBytes = 60

// Send encodes the body as the transport does and counts its bytes.
func (p fakeSender) Send(_ context.Context, to mesh.HostID, kind transport.Kind, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	d := p.domain
	if d.disconnected[to] || d.disconnected[p.self] {
		return errors.New("no link")
	}
	d.bytes[p.self] += len(encoded) + headerBytes
	if d.random.Float64() < d.loss {
		return nil
	}
	at := d.now.Add(time.Duration(d.random.IntN(50)) * time.Millisecond)
	d.inbox = append(d.inbox, delayedMessage{at: at, from: p.self, to: to, message: transport.Message{Kind: kind, Body: encoded}})
	return nil
}

func newDomain(n int, plan lists.Plan, seed uint64) *testDomain {
	d := &testDomain{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		disconnected: map[mesh.HostID]bool{}, nodes: map[mesh.HostID]*Controller{}, bytes: map[mesh.HostID]int{},
		customer: &lists.Customer{ID: "acme", Plan: &plan},
		route:    &lists.Route{Service: &lists.Service{Name: "s"}},
	}
	for i := range n {
		id := mesh.HostID(fmt.Sprintf("h%02d", i))
		d.ids = append(d.ids, id)
		d.nodes[id] = New(Config{Host: id, Domain: "d", Sender: fakeSender{d, id}, Clock: func() time.Time { return d.now }})
	}
	config := &lists.Config{Customers: map[mesh.CustomerID]*lists.Customer{"acme": d.customer}}
	for _, id := range d.ids {
		d.nodes[id].Configure(config, d.view())
	}
	return d
}

func (d *testDomain) view() *membership.View {
	v := &membership.View{Hosts: map[mesh.HostID]*membership.Record{}}
	for _, id := range d.ids {
		v.Hosts[id] = &membership.Record{Host: id, Domain: "d", State: membership.StateAlive}
	}
	return v
}

func (d *testDomain) coordinator() mesh.HostID { return coordinatorOf("acme", d.ids) }

// step advances the time by 10 ms: due messages arrive, and each node ticks once
// a second.
func (d *testDomain) step() {
	d.now = d.now.Add(10 * time.Millisecond)
	var due, later []delayedMessage
	for _, e := range d.inbox {
		if e.at.After(d.now) {
			later = append(later, e)
		} else {
			due = append(due, e)
		}
	}
	d.inbox = later
	for _, e := range due {
		d.nodes[e.to].Handle(e.from, e.message)
	}
	tick := d.now.UnixMilli() % 1000 / 10
	for i, id := range d.ids {
		if int64(i) == tick {
			d.nodes[id].Tick(context.Background())
		}
	}
}

// offer sends roots to each node at its rate per second for the duration and ends
// the admitted ones immediately. It returns how many each node admitted.
func (d *testDomain) offer(duration time.Duration, rates map[mesh.HostID]float64, check func()) map[mesh.HostID]int {
	admitted := map[mesh.HostID]int{}
	credit := map[mesh.HostID]float64{}
	for end := d.now.Add(duration); d.now.Before(end); {
		d.step()
		for _, id := range d.ids {
			for credit[id] += rates[id] / 100; credit[id] >= 1; credit[id]-- {
				t, err := d.nodes[id].AdmitRoot(context.Background(), Root{Customer: d.customer, Route: d.route})
				if err == nil {
					t.Done()
					admitted[id]++
				}
			}
		}
		if check != nil {
			check()
		}
	}
	return admitted
}

// activeRates returns the sum of the valid grants and the sum of the rates that
// the nodes enforce.
func (d *testDomain) activeRates() (granted, enforced float64) {
	for _, id := range d.ids {
		v, ok := d.nodes[id].customers.Load(mesh.CustomerID("acme"))
		if !ok {
			continue
		}
		c := v.(*customer)
		if d.now.UnixNano() <= c.validUntil.Load() {
			granted += c.granted.rate
		}
		enforced += float64(c.limiter.Limit())
	}
	return granted, enforced
}

func sum(m map[mesh.HostID]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

var testPlan = lists.Plan{Name: "p", RatePerSecond: 100, Burst: 20, Concurrency: 100}

// Guards against grants that add up to more than the limit, and against enforced
// rates above the documented bound, while messages are lost and demand moves
// between hosts.
func TestOvershootBound(t *testing.T) {
	for seed := range uint64(20) {
		Convey(fmt.Sprintf("Grants never exceed the limit, seed %d", seed), t, func() {
			d := newDomain(5, testPlan, seed)
			d.loss = 0.2
			total, start := 0, d.now
			check := func() {
				granted, enforced := d.activeRates()
				if granted > testPlan.RatePerSecond+1e-6 {
					t.Fatalf("seed %d: grants of %g at a limit of %g", seed, granted, testPlan.RatePerSecond)
				}
				if enforced > 2*testPlan.RatePerSecond+1e-6 {
					t.Fatalf("seed %d: enforced rates of %g", seed, enforced)
				}
			}
			for range 12 {
				rates := map[mesh.HostID]float64{}
				for _, id := range d.ids {
					rates[id] = float64(d.random.IntN(4)) * 60
				}
				total += sum(d.offer(time.Duration(d.random.IntN(5000))*time.Millisecond, rates, check))
			}
			limit := 2*testPlan.RatePerSecond*d.now.Sub(start).Seconds() + 2*float64(testPlan.Burst) + 5
			So(total, ShouldBeLessThanOrEqualTo, int(limit))
		})
	}
}

// Guards against shares that do not follow the demand of the hosts.
func TestSharesFollowDemand(t *testing.T) {
	Convey("Given five nodes and a limit of 100 roots per second", t, func() {
		d := newDomain(5, testPlan, 7)
		d.offer(coordinatorHandover, nil, nil)
		Convey("one busy node gets nearly all of the limit", func() {
			rates := map[mesh.HostID]float64{"h01": 95}
			d.offer(5*time.Second, rates, nil)
			So(sum(d.offer(10*time.Second, rates, nil)), ShouldBeGreaterThanOrEqualTo, 930)
		})
		Convey("excess demand is divided max-min fairly", func() {
			rates := map[mesh.HostID]float64{"h00": 10, "h01": 200, "h02": 200}
			d.offer(3*GrantValidity, rates, nil)
			n := d.offer(10*time.Second, rates, nil)
			So(n["h00"], ShouldBeBetweenOrEqual, 95, 101)
			So(n["h01"], ShouldBeBetweenOrEqual, 400, 460)
			So(n["h02"], ShouldBeBetweenOrEqual, 400, 460)
			So(sum(n), ShouldBeLessThanOrEqualTo, 1010)
		})
	})
}

// Guards against a node that rejects all roots, or keeps an expired share, when
// the quota coordinator is unreachable, and against overlapping grants of two
// coordinators.
func TestCoordinatorUnreachable(t *testing.T) {
	Convey("Without the coordinator each node uses the limit divided by the live hosts", t, func() {
		d := newDomain(5, testPlan, 3)
		rates := map[mesh.HostID]float64{}
		for _, id := range d.ids {
			if id != d.coordinator() {
				rates[id] = 100
			}
		}
		d.offer(coordinatorHandover+3*time.Second, rates, nil)
		d.disconnected[d.coordinator()] = true
		d.offer(GrantValidity+2*time.Second, rates, nil)
		for _, n := range d.offer(10*time.Second, rates, nil) {
			So(n, ShouldBeBetweenOrEqual, 195, 205)
		}
	})
	Convey("A new coordinator waits until the grants of the previous one have expired", t, func() {
		d := newDomain(5, testPlan, 3)
		rates := map[mesh.HostID]float64{d.ids[0]: 90, d.ids[1]: 90, d.ids[2]: 90, d.ids[3]: 90, d.ids[4]: 90}
		d.offer(coordinatorHandover+3*time.Second, rates, nil)
		previous := d.coordinator()
		d.ids = append(d.ids, "h99")
		for i := 0; d.coordinator() == previous; i++ {
			d.ids[5] = mesh.HostID(fmt.Sprintf("n%02d", i))
		}
		id := d.coordinator()
		d.nodes[id] = New(Config{Host: id, Domain: "d", Sender: fakeSender{d, id}, Clock: func() time.Time { return d.now }})
		d.nodes[id].Configure(d.nodes[previous].lists.Load(), nil)
		for _, h := range d.ids {
			d.nodes[h].Configure(nil, d.view())
		}
		d.offer(2*coordinatorHandover, rates, func() {
			if granted, _ := d.activeRates(); granted > testPlan.RatePerSecond+1e-6 {
				t.Fatalf("grants of %g after the coordinator has changed", granted)
			}
		})
		granted, _ := d.activeRates()
		So(granted, ShouldBeGreaterThan, 0.8*testPlan.RatePerSecond)
	})
}

// Guards against quota messages that use the bandwidth of other messages, with one
// customer active on all of 94 hosts, the size of a failure domain.
func TestBytesPerSecond(t *testing.T) {
	Convey("Demands and grants of each node stay within the byte budgets", t, func() {
		d := newDomain(94, testPlan, 5)
		rates := map[mesh.HostID]float64{}
		for _, id := range d.ids {
			rates[id] = 5
		}
		d.offer(coordinatorHandover+2*time.Second, rates, nil)
		clear(d.bytes)
		d.offer(20*time.Second, rates, nil)
		most, total := 0, 0
		for _, n := range d.bytes {
			most, total = max(most, n), total+n
		}
		t.Logf("bytes per second and node: coordinator %d, mean %d", most/20, total/20/len(d.ids))
		So(most/20, ShouldBeLessThanOrEqualTo, 2*DefaultBytesPerSecond)
	})
}
