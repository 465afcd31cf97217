package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against long responses that go where the link is full while others have room, and
// against hosts of a high bandwidth that get no more of them than the others.
func TestLongResponsesGoWhereTheLinkHasRoom(t *testing.T) {
	endpoint := func(delay time.Duration) Candidate {
		return Candidate{SameDomain: true, Slots: 6, MeanServiceTime: 70 * time.Millisecond, LinkDelay: delay}
	}
	steps := 0
	random := func() float64 {
		steps++
		return float64(steps%100) / 100
	}
	c := Call{TargetRemaining: 500 * time.Millisecond, Remaining: 3 * time.Second}
	count := func(candidates []Candidate) []int {
		chosen := make([]int, len(candidates)+1)
		for range 1000 {
			chosen[Choose(candidates, c, random)+1]++
		}
		return chosen
	}
	Convey("the local endpoint, a wide link and a narrow one", t, func() {
		chosen := count([]Candidate{endpoint(0), endpoint(4 * time.Millisecond), endpoint(200 * time.Millisecond)})
		So(chosen[1], ShouldBeGreaterThan, chosen[2])
		So(chosen[2], ShouldBeGreaterThan, 2*chosen[3])
		So(chosen[3], ShouldBeGreaterThan, 0)
	})
	Convey("a link that leaves no time for the target is not preferred, and one past the deadline is skipped", t, func() {
		So(count([]Candidate{endpoint(400 * time.Millisecond), endpoint(50 * time.Millisecond)})[1], ShouldEqual, 0)
		So(count([]Candidate{endpoint(4 * time.Second), endpoint(2 * time.Second)})[1], ShouldEqual, 0)
		So(count([]Candidate{endpoint(4 * time.Second), endpoint(5 * time.Second)})[0], ShouldEqual, 1000)
	})
	Convey("the time on the link counts before a second attempt", t, func() {
		slow := endpoint(300 * time.Millisecond)
		So(slow.ExpectedTime(), ShouldEqual, 370*time.Millisecond)
	})
}
