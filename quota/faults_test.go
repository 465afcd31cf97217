package quota_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/quota"
)

// ownerOf returns the owner of the workspace as host 0 sees it.
func (m *model) ownerOf(w mesh.WorkspaceName) int {
	for i := range m.hosts {
		if hostName(i) == m.hosts[0].state.Owner(w) {
			return i
		}
	}
	return -1
}

// successorOf returns the owner that the others see without the given one.
func (m *model) successorOf(w mesh.WorkspaceName, owner int) int {
	var others []mesh.HostID
	for i := range m.hosts {
		if i != owner {
			others = append(others, hostName(i))
		}
	}
	s := quota.New(others[0], testBound, 1, m.random, m.now)
	s.SetPlan(m.limits, m.now)
	s.SetHosts(quota.Hosts{Known: others[1:], Reached: others[1:], Listed: true}, m.now)
	for i := range m.hosts {
		if hostName(i) == s.Owner(w) {
			return i
		}
	}
	return -1
}

func oneWorkspace(rate, burst float64) map[mesh.WorkspaceName]quota.Limit {
	return map[mesh.WorkspaceName]quota.Limit{"large": {CallsPerSecond: rate, Burst: burst}}
}

// executedIn returns the number of calls that were executed in the last d.
func (m *model) executedIn(w mesh.WorkspaceName, d time.Duration) int {
	n := 0
	for _, at := range m.executed[w] {
		if at > m.now-d {
			n++
		}
	}
	return n
}

// Guards against calls beyond the quota after one fault each, while callers at all hosts
// ask for seven times the rate.
func TestWindowBoundAfterOneFault(t *testing.T) {
	const rate = 400
	faults := map[string]func(m *model, owner int){
		"the owner and the host that succeeds it lose their link": func(m *model, owner int) {
			m.cut(owner, m.successorOf("large", owner))
		},
		"another host loses its link to the owner, and asks the one that succeeds it": func(m *model, owner int) {
			for i := range m.hosts {
				if i != owner && i != m.successorOf("large", owner) {
					m.cut(owner, i)
					return
				}
			}
		},
		"the owner is killed again and again": func(m *model, owner int) {
			for i := range 5 {
				m.after(time.Duration(i)*900*ms, func() { m.fault("kill", []int{owner}, 30*ms) })
			}
		},
		"the owner loses power for good":     func(m *model, owner int) { m.fault("power", []int{owner}, time.Minute) },
		"the owner is frozen and wakes up":   func(m *model, owner int) { m.fault("freeze", []int{owner}, 3*time.Second) },
		"half of the hosts are cut off":      func(m *model, owner int) { m.fault("cut", []int{owner, (owner + 1) % 4}, time.Minute) },
		"all hosts are killed and restarted": func(m *model, _ int) { m.fault("kill", []int{0, 1, 2, 3}, 500*ms) },
		"the owner is cut off and returns":   func(m *model, owner int) { m.fault("cut", []int{owner}, 3*time.Second) },
	}
	for name, fault := range faults {
		Convey(name, t, func() {
			limits := oneWorkspace(rate, 3*rate)
			m := newModel(t, 4, limits, 7)
			m.run(6 * time.Second)
			m.workload("large", 15*time.Second, "flood", 0)
			m.after(300*ms, func() { fault(m, m.ownerOf("large")) })
			m.run(15 * time.Second)
			m.checkWindows("large", limits["large"], 0)
			So(len(m.executed["large"]), ShouldBeGreaterThan, rate)
		})
	}
}

// Guards against tokens that outlive their time: callers leave some at one host after the
// other, and then call at all hosts.
func TestTokensThatCallersLeaveBehindExpire(t *testing.T) {
	Convey("callers move from host to host, then call everywhere", t, func() {
		const pause = 3200 * ms // The bucket fills up.
		limits := oneWorkspace(100, 300)
		m := newModel(t, 30, limits, 7)
		m.run(4 * time.Second)
		for i := range m.hosts {
			for j := range 280 {
				m.after(time.Duration(i)*pause+time.Duration(j)*500*time.Microsecond, func() { m.call(i, "large", false) })
			}
		}
		m.run(30 * pause)
		m.workload("large", 6*time.Second, "flood", 0)
		m.run(6 * time.Second)
		m.checkWindows("large", limits["large"], 0)
	})
}

// Guards against refunds that add to a full bucket.
func TestRefundsDoNotExceedTheBound(t *testing.T) {
	Convey("calls within the quota are all refunded late, then all are executed", t, func() {
		limits := oneWorkspace(650, 650)
		m := newModel(t, 3, limits, 7)
		m.refundDelay = 2 * time.Second
		m.run(4 * time.Second)
		for i := range 1950 {
			m.after(time.Duration(i)*time.Second/650, func() { m.call(i%3, "large", true) })
		}
		m.run(3 * time.Second)
		m.workload("large", 6*time.Second, "flood", 0)
		m.run(6 * time.Second)
		m.checkWindows("large", limits["large"], 0)
	})
}

// Guards against rejections below the quota.
func TestQuotaIsUsed(t *testing.T) {
	Convey("16 hosts", t, func() {
		limits := map[mesh.WorkspaceName]quota.Limit{"large": {CallsPerSecond: 650, Burst: 650}, "small": {CallsPerSecond: 5, Burst: 5}}
		m := newModel(t, 16, limits, 7)
		m.run(3 * time.Second)
		call := func(w mesh.WorkspaceName, perSecond float64, d time.Duration, host func() int) (calls int) {
			for at := 0.0; at < d.Seconds(); at += m.random.ExpFloat64() / perSecond {
				calls++
				m.after(time.Duration(at*float64(time.Second)), func() { m.call(host(), w, false) })
			}
			return calls
		}
		// Half of the calls come to one host, and most of the others to two more.
		uneven := func() int { return min(int(m.random.ExpFloat64()*1.4), 15) }
		Convey("a steady demand of 0.95 of the quota from uneven hosts has fewer than one rejection in 100", func() {
			calls := call("large", 0.95*650, 20*time.Second, uneven)
			m.run(21 * time.Second)
			So(m.rejected["large"]*100, ShouldBeLessThan, calls)
		})
		Convey("a usual demand of 0.6 of a small quota has fewer than one rejection in 100", func() {
			calls := call("small", 3, 200*time.Second, uneven)
			m.run(201 * time.Second)
			So(m.rejected["small"]*100, ShouldBeLessThan, calls)
		})
		Convey("a demand of seven times the quota at three hosts gets nearly all of the quota", func() {
			call("large", 7*650, 10*time.Second, func() int { return m.random.IntN(3) })
			m.run(10 * time.Second)
			So(m.executedIn("large", 5*time.Second), ShouldBeGreaterThan, 97*650*5/100)
			m.checkWindows("large", limits["large"], 0)
		})
		Convey("a demand of seven times a small quota gets all of it", func() {
			call("small", 35, 60*time.Second, uneven)
			m.run(60 * time.Second)
			So(m.executedIn("small", 50*time.Second), ShouldBeGreaterThan, 97*250/100)
		})
		Convey("the owner of the quota ends in a usual demand", func() {
			calls := call("large", 0.6*650, 20*time.Second, uneven)
			owner := m.ownerOf("large")
			m.after(2*time.Second, func() { m.fault("kill", []int{owner}, time.Second) })
			m.run(21 * time.Second)
			t.Logf("%d of %d rejected", m.rejected["large"], calls)
			So(m.rejected["large"]*10, ShouldBeLessThan, calls)
		})
	})
}
