// Package admission decides at a caller's node which root calls enter the
// mesh: the limits of the customer, and a level per service and rank that
// follows the pressure on the service. It does no I/O; quota messages leave
// through transport.Sender.
//
// Limits hold per customer and failure domain. Each node works with a share of
// the limit, so limits are exact on a node and eventually exact in a failure
// domain; see Controller.Tick for the bound.
package admission

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Config configures a controller.
type Config struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// Sender carries quota messages; nil means that the node has no peers.
	Sender transport.Sender
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Meter receives the controller's metrics; nil means none.
	Meter metric.Meter
	// Logger receives the controller's events; nil discards them.
	Logger hclog.Logger
	// BytesPerSecond limits the bytes of quota messages that the node sends,
	// separately for demands and for grants; zero means DefaultBytesPerSecond.
	BytesPerSecond int
	// DisableLevels admits roots regardless of the pressure, for experiments.
	DisableLevels bool
}

// DefaultBytesPerSecond leaves most of a node's 4 KB/s of control traffic to other
// messages.
const DefaultBytesPerSecond = 512

// Root describes a root call.
type Root struct {
	Call     mesh.CallID
	Customer *lists.Customer
	Route    *lists.Route
}

// Rejection is the error of a root call that was rejected. No part of the
// call was executed.
type Rejection struct {
	Reason mesh.Reason
	// RetryAfter is the time after which a new attempt may succeed.
	RetryAfter time.Duration
}

// Error returns the reason and the retry-after time.
func (r *Rejection) Error() string {
	return fmt.Sprintf("admission: root call rejected: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Outcome returns mesh.OutcomeNotExecuted.
func (r *Rejection) Outcome() mesh.Outcome { return mesh.OutcomeNotExecuted }

// Controller admits the root calls of one node. Its methods are safe for
// concurrent use. AdmitRoot locks only the customer's rate limiter.
type Controller struct {
	config    Config
	clock     func() time.Time
	metrics   metric.Registration
	customers sync.Map // mesh.CustomerID to *customer
	services  sync.Map // mesh.ServiceName to *levels
	lists     atomic.Pointer[lists.Config]
	// liveHosts is the number of live hosts in the node's failure domain.
	liveHosts atomic.Int64
	counters  counters

	// mu guards the fields below. An admitted root does not take it; rejected
	// roots take it at most once per customer and minEarlyDemandInterval.
	mu          sync.Mutex
	hostHistory hostHistory
	coordinator coordinator
	demands     demands
}

// New returns a controller that knows no hosts and no lists yet. Until
// Configure is called, it applies the whole limit of each customer.
func New(config Config) *Controller {
	c := &Controller{config: config, clock: config.Clock}
	if c.clock == nil {
		c.clock = time.Now
	}
	if c.config.BytesPerSecond == 0 {
		c.config.BytesPerSecond = DefaultBytesPerSecond
	}
	now := c.clock()
	c.liveHosts.Store(1)
	c.hostHistory = newHostHistory(now)
	c.coordinator = newCoordinator(now, c.config.BytesPerSecond)
	c.demands = newDemands(now, c.config.BytesPerSecond)
	c.register()
	return c
}

// Close removes the controller's metrics.
func (c *Controller) Close() error {
	if c.metrics == nil {
		return nil
	}
	return errors.Wrap(c.metrics.Unregister(), "admission: remove metrics")
}

const (
	// concurrencyRetryAfter is the retry-after time of a customer at its concurrency
	// limit.
	concurrencyRetryAfter = 100 * time.Millisecond
	// overloadRetryAfter is the retry-after time of a root rejected for overload; a
	// level needs some seconds to recover.
	overloadRetryAfter = time.Second
	// maxRetryAfter is the longest retry-after time.
	maxRetryAfter = time.Minute
)

// AdmitRoot decides whether a root call may start. The error is always a
// *Rejection. The caller must call Done on the ticket when the call has ended.
func (c *Controller) AdmitRoot(_ context.Context, r Root) (*Ticket, error) {
	now := c.clock()
	rank := r.Route.Rank
	level := c.levelFor(r.Route.Service.Name, rank, now)
	if !c.config.DisableLevels && !level.admits(r.Customer.ID, r.Call, now) {
		c.counters.reject(rank, mesh.ReasonOverload)
		return nil, &Rejection{Reason: mesh.ReasonOverload, RetryAfter: overloadRetryAfter}
	}
	cust := c.customer(r.Customer, now)
	if rejection := cust.admit(now); rejection != nil {
		c.counters.reject(rank, rejection.Reason)
		c.sendEarlyDemand(cust, now)
		return nil, rejection
	}
	c.counters.admitted[min(rank, mesh.RankCount-1)].Add(1)
	return &Ticket{customer: cust, controller: c, level: level, admitted: now}, nil
}

// customer returns the state of a customer and makes sure that its share of the
// limit has not expired.
func (c *Controller) customer(l *lists.Customer, now time.Time) *customer {
	v, ok := c.customers.Load(l.ID)
	if !ok {
		v = c.newCustomer(l, now)
	}
	cust := v.(*customer)
	if now.UnixNano() > cust.validUntil.Load() {
		c.expireShare(cust, now)
	}
	return cust
}

// newCustomer adds a customer with the equal share of its limits.
func (c *Controller) newCustomer(l *lists.Customer, now time.Time) *customer {
	plan := l.Plan
	if config := c.lists.Load(); config != nil {
		if known, ok := config.Customers[l.ID]; ok {
			plan = known.Plan
		}
	}
	fresh := newCustomer(l.ID, plan, int(c.liveHosts.Load()), now)
	v, _ := c.customers.LoadOrStore(l.ID, fresh)
	return v.(*customer)
}

// expireShare replaces an expired grant by the equal share.
func (c *Controller) expireShare(cust *customer, now time.Time) {
	c.counters.expired.Add(1)
	cust.useEqualShare(int(c.liveHosts.Load()), now)
}

// Configure activates the limits of a version of the lists and the live hosts of
// a member table. Roots in flight are not affected. A nil argument leaves its
// part unchanged.
func (c *Controller) Configure(config *lists.Config, view *membership.View) {
	now := c.clock()
	if view != nil {
		c.mu.Lock()
		c.hostHistory.set(liveHosts(view, c.config.Domain, c.config.Host), now)
		c.liveHosts.Store(int64(len(c.hostHistory.current())))
		c.mu.Unlock()
	}
	if config != nil {
		c.lists.Store(config)
	}
	c.customers.Range(func(_, v any) bool {
		c.reconfigure(v.(*customer), now)
		return true
	})
}

// reconfigure applies a changed plan or number of hosts to a customer. The
// granted share stays valid until it expires, reduced to the new limits.
func (c *Controller) reconfigure(cust *customer, now time.Time) {
	config := c.lists.Load()
	if config == nil {
		cust.applyPlan(cust.plan.Load(), int(c.liveHosts.Load()), now)
		return
	}
	known, ok := config.Customers[cust.id]
	if !ok {
		c.customers.Delete(cust.id)
		return
	}
	cust.applyPlan(known.Plan, int(c.liveHosts.Load()), now)
}

// Ticket represents an admitted root call until Done is called.
type Ticket struct {
	customer   *customer
	controller *Controller
	level      *level
	admitted   time.Time
	done       atomic.Bool
}

// Done ends the root call. Further calls have no effect.
func (t *Ticket) Done() {
	if !t.done.Swap(true) {
		t.customer.inFlight.Add(-1)
		t.level.recordDuration(t.controller.clock().Sub(t.admitted))
	}
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, time.Millisecond), maxRetryAfter)
}

// secondsToDuration converts seconds to a duration of at most maxRetryAfter.
func secondsToDuration(s float64) time.Duration {
	if math.IsInf(s, 0) || s > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
