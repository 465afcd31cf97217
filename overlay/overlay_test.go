package overlay

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func view(domains, hosts int) *membership.View {
	v := &membership.View{Hosts: map[mesh.HostID]*membership.Record{}}
	for d := range domains {
		for n := range hosts {
			h := mesh.HostID(fmt.Sprintf("h-%d-%d", d, n))
			v.Hosts[h] = &membership.Record{
				Host: h, Domain: mesh.FailureDomain(fmt.Sprintf("fd%d", d)), State: membership.StateAlive,
			}
		}
	}
	return v
}

// reach returns the number of hosts reachable from one host and the largest
// distance to one of them in links.
func reach(links map[mesh.HostID]Links, from mesh.HostID) (int, int) {
	distance := map[mesh.HostID]int{from: 0}
	queue, maxDistance := []mesh.HostID{from}, 0
	for ; len(queue) > 0; queue = queue[1:] {
		for next := range links[queue[0]].Dial {
			if _, seen := distance[next]; !seen {
				distance[next] = distance[queue[0]] + 1
				maxDistance = max(maxDistance, distance[next])
				queue = append(queue, next)
			}
		}
	}
	return len(distance), maxDistance
}

func TestCompute(t *testing.T) {
	Convey("Given 8 failure domains of 94 hosts", t, func() {
		v := view(8, 94)
		links := map[mesh.HostID]Links{}
		for h := range v.Hosts {
			links[h] = Compute(v, h)
		}
		Convey("both ends want each link and at least one of them dials", func() {
			total, maxLinks, oneSided := 0, 0, 0
			for h, l := range links {
				total += len(l.Dial)
				maxLinks = max(maxLinks, len(l.Dial))
				for peer, dial := range l.Dial {
					if back, wanted := links[peer].Dial[h]; !wanted || (!dial && !back) {
						oneSided++
					}
				}
			}
			So(oneSided, ShouldEqual, 0)
			t.Logf("links per host: mean %.1f, max %d", float64(total)/float64(len(links)), maxLinks)
		})
		Convey("every host is reachable within the depth of the trees", func() {
			reached, distance := reach(links, "h-0-0")
			t.Logf("max hops %d", distance)
			So(reached, ShouldEqual, 8*94)
			So(distance, ShouldBeLessThanOrEqualTo, int(4*math.Log(94)))
		})
		Convey("a host that dies changes the tree parent of its children only", func() {
			v.Hosts["h-3-5"].State = membership.StateDead
			moved := 0
			for h, before := range links {
				if after := Compute(v, h); h != "h-3-5" && after.Parent != before.Parent {
					moved++
				}
			}
			So(moved, ShouldEqual, len(links["h-3-5"].Children))
		})
	})
}

func BenchmarkCompute(b *testing.B) {
	v := view(8, 94)
	for b.Loop() {
		Compute(v, "h-0-0")
	}
}
