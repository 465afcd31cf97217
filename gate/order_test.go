package gate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// gateFixture is a gate with a fake clock that records the order of grants.
type gateFixture struct {
	g        *Gate
	now      time.Time
	order    []mesh.CallID
	rejected map[mesh.CallID]mesh.Reason
	slots    map[mesh.CallID]*Slot
}

func newGateFixture(slots int, service lists.Service) *gateFixture {
	b := &gateFixture{now: time.Unix(1000, 0), rejected: map[mesh.CallID]mesh.Reason{}, slots: map[mesh.CallID]*Slot{}}
	b.g = New(Config{Service: service, Slots: slots, Clock: func() time.Time { return b.now }})
	return b
}

func (b *gateFixture) submit(call Call) func(mesh.Reason) bool {
	return b.g.Submit(call, func(s *Slot, err error) {
		if err != nil {
			b.rejected[call.ID] = reasonOf(err)
			return
		}
		b.order = append(b.order, call.ID)
		b.slots[call.ID] = s
	})
}

// releaseUntil releases the slots in the order of their grants, one every 10 ms,
// until n calls have got a slot.
func (b *gateFixture) releaseUntil(n int) {
	for i := 0; i < len(b.order) && len(b.order) < n; i++ {
		b.now = b.now.Add(10 * time.Millisecond)
		b.slots[b.order[i]].Release(10 * time.Millisecond)
	}
}

// Guards against an order of service that ignores rank, depth or customers.
func TestOrderOfService(t *testing.T) {
	service := lists.Service{Name: "s", OtherShare: 0.2, LongShare: 0.5, MaxQueue: 100}
	Convey("Given a gate whose only slot is in use", t, func() {
		b := newGateFixture(1, service)
		b.submit(Call{ID: "first"})
		Convey("urgent calls go before standard before bulk ones, nested before roots", func() {
			b.submit(Call{ID: "bulk", Rank: mesh.RankBulk})
			b.submit(Call{ID: "standard", Rank: mesh.RankStandard})
			b.submit(Call{ID: "root"})
			b.submit(Call{ID: "nested", Depth: 1})
			b.releaseUntil(5)
			So(b.order, ShouldResemble, []mesh.CallID{"first", "nested", "root", "standard", "bulk"})
		})
		Convey("customers take turns, whatever the length of their queues", func() {
			for _, call := range []mesh.CallID{"a1", "a2", "a3", "b1", "b2"} {
				b.submit(Call{ID: call, Customer: mesh.CustomerID(call[:1])})
			}
			b.releaseUntil(6)
			So(b.order, ShouldResemble, []mesh.CallID{"first", "a1", "b1", "a2", "b2", "a3"})
		})
		Convey("an urgent flood leaves other ranks their reserved share", func() {
			for range 45 {
				b.submit(Call{ID: "urgent"})
				b.submit(Call{ID: "standard", Rank: mesh.RankStandard})
			}
			b.releaseUntil(41)
			standard := 0
			for _, call := range b.order {
				if call == "standard" {
					standard++
				}
			}
			So(standard, ShouldBeBetweenOrEqual, 7, 9)
		})
	})
	Convey("Long calls leave a slot free and wait without blocking short ones", t, func() {
		b := newGateFixture(2, lists.Service{LongShare: 0.9, MaxQueue: 10})
		b.submit(Call{ID: "long1", Long: true})
		b.submit(Call{ID: "long2", Long: true})
		b.submit(Call{ID: "short"})
		So(b.order, ShouldResemble, []mesh.CallID{"long1", "short"})
		b.slots["long1"].Release(time.Minute)
		So(b.order, ShouldResemble, []mesh.CallID{"long1", "short", "long2"})
	})
}

// Guards against a full queue that rejects urgent calls or customers with few
// calls, and against a flood that takes the reserved places.
func TestFullQueue(t *testing.T) {
	Convey("Given a queue full of bulk calls of one customer", t, func() {
		b := newGateFixture(1, lists.Service{OtherShare: 0.2, LongShare: 0.5, MaxQueue: 5})
		b.submit(Call{ID: "first"})
		for _, call := range []mesh.CallID{"b1", "b2", "b3", "b4", "b5"} {
			b.submit(Call{ID: call, Rank: mesh.RankBulk, Customer: "loud"})
		}
		Convey("urgent calls evict the newest ones, down to the reserved places", func() {
			for _, call := range []mesh.CallID{"u1", "u2", "u3", "u4", "u5"} {
				b.submit(Call{ID: call, Customer: "urgent"})
			}
			So(b.rejected, ShouldResemble, map[mesh.CallID]mesh.Reason{
				"b5": mesh.ReasonQueueFull, "b4": mesh.ReasonQueueFull, "b3": mesh.ReasonQueueFull,
				"b2": mesh.ReasonQueueFull, "u5": mesh.ReasonQueueFull,
			})
		})
		Convey("a call of a customer with fewer calls evicts one, a further call of the loud one does not", func() {
			b.submit(Call{ID: "q1", Rank: mesh.RankBulk, Customer: "quiet"})
			b.submit(Call{ID: "b6", Rank: mesh.RankBulk, Customer: "loud"})
			So(b.rejected, ShouldResemble, map[mesh.CallID]mesh.Reason{"b5": mesh.ReasonQueueFull, "b6": mesh.ReasonQueueFull})
		})
	})
}

// Guards against calls that wait for a slot although they cannot meet their
// deadline, and against a slow phase after which a gate rejects calls forever.
func TestDeadlines(t *testing.T) {
	Convey("Given a gate whose calls took 100 ms", t, func() {
		b := newGateFixture(1, lists.Service{MaxQueue: 100})
		for _, call := range []mesh.CallID{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"} {
			b.submit(Call{ID: call})
			b.now = b.now.Add(100 * time.Millisecond)
			b.slots[call].Release(100 * time.Millisecond)
		}
		Convey("a call without enough time is rejected immediately", func() {
			b.submit(Call{ID: "late", Deadline: b.now.Add(50 * time.Millisecond)})
			So(b.rejected["late"], ShouldEqual, mesh.ReasonDeadline)
		})
		Convey("the expected wait counts too", func() {
			for range 5 {
				b.submit(Call{ID: "x"})
			}
			b.submit(Call{ID: "late", Deadline: b.now.Add(450 * time.Millisecond)})
			b.submit(Call{ID: "ok", Deadline: b.now.Add(700 * time.Millisecond)})
			So(b.rejected, ShouldResemble, map[mesh.CallID]mesh.Reason{"late": mesh.ReasonDeadline})
		})
		Convey("the estimate decays without observations", func() {
			b.now = b.now.Add(time.Minute)
			b.submit(Call{ID: "later", Deadline: b.now.Add(50 * time.Millisecond)})
			So(b.rejected, ShouldBeEmpty)
		})
	})
}

// Guards against a gate that keeps using all slots after its endpoint shed a call,
// or that never uses all of them again.
func TestShedding(t *testing.T) {
	Convey("Given ten running calls and two reports of shed calls at the same time", t, func() {
		b := newGateFixture(10, lists.Service{LongShare: 0.5, MaxQueue: 100})
		for _, call := range []mesh.CallID{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"} {
			b.submit(Call{ID: call})
		}
		b.g.ReportShed()
		b.g.ReportShed()
		So(b.g.limit(), ShouldEqual, 9)
		b.slots["0"].Release(time.Millisecond)
		So(b.g.Load().InUse, ShouldEqual, 9)
		b.submit(Call{ID: "waits"})
		So(b.g.Load().Queued, ShouldEqual, 1)
		b.now = b.now.Add(shedHold + shedRecovery)
		b.slots["1"].Release(time.Millisecond)
		So(b.g.limit(), ShouldEqual, 10)
		So(b.g.Load().Queued, ShouldEqual, 0)
	})
}
