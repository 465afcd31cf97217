// Package distribution keeps the member table and the accepted version of a
// node in step with the other nodes: links, announcements, pulls, repair, watch
// holders and convergence summaries.
//
// A node never goes back: the accepted version changes only to one with a
// higher sequence whose digest matches its body and whose lists compile.
package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Source reads accepted versions from the store; *authority.Authority is one.
type Source interface {
	Head(ctx context.Context) (authority.Head, kvstore.Revision, error)
	Load(ctx context.Context, head authority.Head) (*lists.Version, error)
	WatchHead(ctx context.Context, after kvstore.Revision) (authority.Head, kvstore.Revision, error)
}

// Timing holds the intervals of a service. Zero values stand for the defaults.
type Timing struct {
	// PingAfter is the silence of a link after which the node pings.
	PingAfter time.Duration
	// LinkTimeout is the silence after which a link counts as broken.
	LinkTimeout time.Duration
	// DigestInterval is the mean time between member digests.
	DigestInterval time.Duration
	// PullTimeout is the time after which another peer is asked.
	PullTimeout time.Duration
	// RedialMin and RedialMax bound the decorrelated jitter between dials.
	RedialMin, RedialMax time.Duration
	// IdleTimeout closes links that were opened on demand.
	IdleTimeout time.Duration
	// BatchDelay is the time for which changed records are collected before they
	// are sent.
	BatchDelay time.Duration
	// Tick is the period of the service's own checks.
	Tick time.Duration
	// LeaseTTL is the time to live of a watch holder's lease.
	LeaseTTL time.Duration
	// BootstrapDelay is the mean time before a node without peers calls the store.
	BootstrapDelay time.Duration
	// SummaryDeadline is the time after a change at which the root of the domain
	// writes the summary even when hosts still lag.
	SummaryDeadline time.Duration
	// ReadyTimeout bounds the time from the first accepted version until it is in
	// force when fewer peers answer than the comparison wants.
	ReadyTimeout time.Duration
}

func (t *Timing) defaults() {
	set := func(d *time.Duration, v time.Duration) { *d = lo.CoalesceOrEmpty(*d, v) }
	set(&t.PingAfter, time.Second)
	set(&t.LinkTimeout, 3*time.Second)
	set(&t.DigestInterval, 10*time.Second)
	set(&t.PullTimeout, time.Second)
	set(&t.RedialMin, 100*time.Millisecond)
	set(&t.RedialMax, 5*time.Second)
	set(&t.IdleTimeout, 30*time.Second)
	set(&t.BatchDelay, 20*time.Millisecond)
	set(&t.Tick, 250*time.Millisecond)
	set(&t.LeaseTTL, 10*time.Second)
	set(&t.BootstrapDelay, time.Second)
	set(&t.SummaryDeadline, 6*time.Second)
	set(&t.ReadyTimeout, 3*time.Second)
}

// Config configures a Service.
type Config struct {
	// Self is the node's own record; an incarnation of zero is set from the clock.
	Self membership.Record
	// Seeds are addresses, IP and port, that a node without peers dials.
	Seeds []string
	// Source may be nil: the node then never reads the store.
	Source Source
	// Store holds leases and contacts. It may be nil, as Source may.
	Store kvstore.Store
	// Summaries writes convergence summaries; nil means that none are written.
	Summaries SummaryWriter
	Logger    hclog.Logger
	Meter     *transport.Meter
	Dial      transport.DialFunc
	// Rand returns a number below 1 for jitter; nil stands for the runtime's. It
	// must be safe for concurrent use.
	Rand func() float64
	// Clock returns the time; nil stands for time.Now.
	Clock  func() time.Time
	Timing Timing
	// Members are the times of the member table.
	Members membership.Options
	// OnVersion is called in order for every version that is in force: for the
	// accepted one when the node becomes ready, and for each later one. OnMembers
	// is called for the view after changes of the table. Both must not block for long.
	OnVersion func(*lists.Version)
	OnMembers func(*membership.View)
	// HandshakesPerSecond bounds the links accepted per second.
	HandshakesPerSecond float64
	// BodiesAtOnce bounds the whole bodies that are being sent at any time.
	BodiesAtOnce int
}

// DefaultBodiesAtOnce is the default of Config.BodiesAtOnce.
const DefaultBodiesAtOnce = 4

// ErrConfig marks errors in a Config.
var ErrConfig = errors.New("distribution: invalid configuration")

func (c *Config) prepare() error {
	c.Timing.defaults()
	c.BodiesAtOnce = lo.CoalesceOrEmpty(c.BodiesAtOnce, DefaultBodiesAtOnce)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Meter == nil {
		c.Meter = &transport.Meter{}
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	record := c.Self
	record.State = max(record.State, membership.StateAlive)
	if err := record.Validate(); err != nil {
		return errors.Mark(err, ErrConfig)
	}
	return nil
}
