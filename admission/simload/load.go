package simload

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumnotch.example/geraniumnotch/admission"
	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Endpoint is a simulated endpoint behind its gate.
type Endpoint struct {
	Gate *gate.Gate
	// ShedAbove is the number of running calls from which the endpoint sheds further
	// ones; zero means that it sheds none. A shed call holds its slot for ShedTime.
	ShedAbove int
	ShedTime  time.Duration
	// IgnoreSheds does not report shed calls to the gate, for comparison.
	IgnoreSheds bool
	running     int
	// Busy is the total service time of the calls that have ended.
	Busy time.Duration
}

// Call is one call of a root call, to an endpoint.
type Call struct {
	Endpoint    *Endpoint
	ServiceTime Distribution
}

// Workload is a stream of root calls. Its results are the fields from Offered
// on.
type Workload struct {
	Rank     mesh.Rank
	Customer mesh.CustomerID
	// Customers is the number of customers that send the roots, at random. Their
	// names start with Customer; zero means one.
	Customers int
	// Rate is the mean number of roots per second, with exponential interarrival
	// times.
	Rate float64
	// Start and Stop are the first and last time of arrivals; Stop zero means no end.
	Start, Stop time.Duration
	Deadline    time.Duration
	Long        bool
	// Calls are the calls of a root in sequence: the first at depth 0, each other
	// one a level deeper.
	Calls []Call
	// NetworkDelay is the time that a call takes on the network, and again its
	// response.
	NetworkDelay time.Duration
	// Controllers admit the roots in turn, one for each node that accepts calls from
	// clients. Without controllers all roots are admitted.
	Controllers []*admission.Controller
	// NestedAsRoots submits nested calls like roots, for comparison.
	NestedAsRoots bool

	// MeasureFrom is the time from which arrivals are counted in the results.
	MeasureFrom time.Duration
	// Offered, OK and Late count roots: all, those answered before the deadline, and
	// those answered after it. Rejected counts the others by reason.
	Offered, OK, Late int
	Rejected          map[mesh.Reason]int
	latencies         []time.Duration
	arrivals          int
}

// OKRatio returns the fraction of the offered roots that were answered before the
// deadline.
func (l *Workload) OKRatio() float64 { return float64(l.OK) / float64(max(l.Offered, 1)) }

// Quantile returns the q-quantile of the latency of the answered roots.
func (l *Workload) Quantile(q float64) time.Duration {
	if len(l.latencies) == 0 {
		return 0
	}
	slices.Sort(l.latencies)
	return l.latencies[min(int(q*float64(len(l.latencies))), len(l.latencies)-1)]
}

// Goodput returns the number of roots per second that were answered before the
// deadline.
func (l *Workload) Goodput(measured time.Duration) float64 {
	return float64(l.OK) / measured.Seconds()
}

// String returns the results in one line.
func (l *Workload) String() string {
	return fmt.Sprintf("offered %d, ok %.4f, late %d, p50 %s, p99 %s, rejected %v",
		l.Offered, l.OKRatio(), l.Late, l.Quantile(0.5).Round(100*time.Microsecond), l.Quantile(0.99).Round(100*time.Microsecond), l.Rejected)
}

// Offer adds a workload to the simulation.
func (s *Sim) Offer(l *Workload) {
	l.Rejected = map[mesh.Reason]int{}
	s.After(l.Start+s.interarrivalTime(l), func() { s.arrive(l) })
}

func (s *Sim) interarrivalTime(l *Workload) time.Duration {
	return time.Duration(s.Random.ExpFloat64() / l.Rate * float64(time.Second))
}

func (s *Sim) arrive(l *Workload) {
	if l.Stop > 0 && s.now > l.Stop {
		return
	}
	s.After(s.interarrivalTime(l), func() { s.arrive(l) })
	l.arrivals++
	r := &rootCall{
		sim: s, workload: l, arrived: s.now, measured: s.now >= l.MeasureFrom, customer: l.Customer,
		id: mesh.CallID(fmt.Sprintf("%s-%s-%d", l.Customer, l.Rank, l.arrivals)),
	}
	if r.measured {
		l.Offered++
	}
	if l.Customers > 0 {
		r.customer += mesh.CustomerID(fmt.Sprint(s.Random.IntN(l.Customers)))
	}
	if len(l.Controllers) > 0 {
		r.controller = l.Controllers[l.arrivals%len(l.Controllers)]
	}
	r.admit()
}

// rootCall is a root call in flight.
type rootCall struct {
	sim        *Sim
	workload   *Workload
	id         mesh.CallID
	customer   mesh.CustomerID
	arrived    time.Duration
	measured   bool
	depth      int
	controller *admission.Controller
	ticket     *admission.Ticket
	pressure   float64
}

// admittedService is the service whose admission level applies to the roots.
const admittedService mesh.ServiceName = "entry"

// unlimited is the plan of all simulated customers.
var unlimited = &lists.Plan{Name: "unlimited", RatePerSecond: 1e9, Burst: 1e9, Concurrency: 1e9}

func (r *rootCall) admit() {
	l := r.workload
	if r.controller != nil {
		root := admission.Root{
			Call:     r.id,
			Customer: &lists.Customer{ID: r.customer, Plan: unlimited},
			Route:    &lists.Route{Service: &lists.Service{Name: admittedService}, Rank: l.Rank},
		}
		ticket, err := r.controller.AdmitRoot(context.Background(), root)
		if err != nil {
			r.reject(mesh.ReasonOverload)
			return
		}
		r.ticket = ticket
	}
	r.sim.After(l.NetworkDelay, r.submit)
}

// submit submits the next call to its endpoint's gate. The call is cancelled at
// the deadline if it still waits.
func (r *rootCall) submit() {
	l := r.workload
	deadline := r.arrived + l.Deadline
	call := gate.Call{ID: r.id, Root: r.id, Customer: r.customer, Rank: l.Rank, Depth: r.depth, Long: l.Long, Deadline: epoch.Add(deadline)}
	if l.NestedAsRoots {
		call.Depth = 0
	}
	target := l.Calls[r.depth]
	answered := false
	cancel := target.Endpoint.Gate.Submit(call, func(slot *gate.Slot, err error) {
		answered = true
		if err != nil {
			r.fail(target.Endpoint, err.(*gate.Rejection).Reason)
			return
		}
		r.execute(target, slot)
	})
	if answered {
		return
	}
	r.sim.After(deadline-r.sim.now, func() {
		if !answered && cancel(mesh.ReasonDeadline) {
			r.fail(target.Endpoint, mesh.ReasonDeadline)
		}
	})
}

// execute holds the slot for the service time, or sheds the call.
func (r *rootCall) execute(call Call, slot *gate.Slot) {
	endpoint := call.Endpoint
	if endpoint.ShedAbove > 0 && endpoint.running >= endpoint.ShedAbove {
		r.sim.After(endpoint.ShedTime, func() {
			if !endpoint.IgnoreSheds {
				endpoint.Gate.ReportShed()
			}
			slot.Release(0)
			r.fail(endpoint, mesh.ReasonEndpointShed)
		})
		return
	}
	l := r.workload
	endpoint.running++
	serviceTime := call.ServiceTime(r.sim.Random)
	r.sim.After(serviceTime, func() {
		endpoint.running--
		endpoint.Busy += serviceTime
		slot.Release(serviceTime)
		r.observe(endpoint)
		r.sim.After(l.NetworkDelay, r.nextCall)
	})
}

// observe records the highest pressure that the calls of the root met.
func (r *rootCall) observe(endpoint *Endpoint) {
	r.pressure = max(r.pressure, endpoint.Gate.Load().For(r.workload.Rank))
}

// fail ends the root as rejected after the network delay of the response.
func (r *rootCall) fail(endpoint *Endpoint, reason mesh.Reason) {
	r.observe(endpoint)
	r.sim.After(r.workload.NetworkDelay, func() { r.finish(reason) })
}

func (r *rootCall) nextCall() {
	r.depth++
	if r.depth < len(r.workload.Calls) {
		r.sim.After(r.workload.NetworkDelay, r.submit)
		return
	}
	r.finish("")
}

// finish ends the root; an empty reason means that it was answered.
func (r *rootCall) finish(reason mesh.Reason) {
	if r.ticket != nil {
		r.ticket.Done()
		r.controller.Observe(admittedService, r.workload.Rank, r.pressure)
	}
	if reason != "" {
		r.reject(reason)
		return
	}
	if !r.measured {
		return
	}
	latency := r.sim.now - r.arrived
	r.workload.latencies = append(r.workload.latencies, latency)
	if latency > r.workload.Deadline {
		r.workload.Late++
		return
	}
	r.workload.OK++
}

func (r *rootCall) reject(reason mesh.Reason) {
	if r.measured {
		r.workload.Rejected[reason]++
	}
}
