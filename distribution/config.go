// Package distribution synchronizes the member table and the accepted version
// of a node with the other nodes: links, announcements, pulls, repair, watch
// holders and convergence summaries.
//
// The accepted version never regresses: it changes only to one with a higher
// sequence whose digest matches its body and whose lists compile.
package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Source reads accepted versions from the store; *authority.Authority implements
// it.
type Source interface {
	Head(ctx context.Context) (authority.Head, kvstore.Revision, error)
	Load(ctx context.Context, head authority.Head) (*lists.Version, error)
	WatchHead(ctx context.Context, after kvstore.Revision) (authority.Head, kvstore.Revision, error)
}

// Timing holds the intervals and timeouts of a service. Zero values stand for
// the defaults.
type Timing struct {
	// PingAfter is how long a link may be silent before the node pings.
	PingAfter time.Duration
	// LinkTimeout is how long a link may be silent before it counts as broken.
	LinkTimeout time.Duration
	// DigestInterval is the mean time between member digests.
	DigestInterval time.Duration
	// PullTimeout is how long a pull may take before another peer is asked.
	PullTimeout time.Duration
	// RedialMin and RedialMax bound the backoff between dials, which has
	// decorrelated jitter.
	RedialMin, RedialMax time.Duration
	// IdleTimeout is the idle time after which a link opened on demand is closed.
	IdleTimeout time.Duration
	// BatchDelay is how long changed records are collected before they are sent.
	BatchDelay time.Duration
	// Tick is the period of the checks that depend on time.
	Tick time.Duration
	// LeaseTTL is the time to live of a watch holder's lease.
	LeaseTTL time.Duration
	// BootstrapDelay is the mean time before a node without peers calls the store.
	BootstrapDelay time.Duration
	// SummaryDeadline is the time after a change at which the root of the domain
	// writes the summary even when hosts still lag.
	SummaryDeadline time.Duration
	// ReadyTimeout bounds the time from the first accepted version until it becomes
	// active when fewer than minReadyPeers peers answer.
	ReadyTimeout time.Duration
}

func (t *Timing) setDefaults() {
	setDefault := func(d *time.Duration, v time.Duration) { *d = lo.CoalesceOrEmpty(*d, v) }
	setDefault(&t.PingAfter, time.Second)
	setDefault(&t.LinkTimeout, 3*time.Second)
	setDefault(&t.DigestInterval, 10*time.Second)
	setDefault(&t.PullTimeout, time.Second)
	setDefault(&t.RedialMin, 100*time.Millisecond)
	setDefault(&t.RedialMax, 5*time.Second)
	setDefault(&t.IdleTimeout, 30*time.Second)
	setDefault(&t.BatchDelay, 20*time.Millisecond)
	setDefault(&t.Tick, 250*time.Millisecond)
	setDefault(&t.LeaseTTL, 10*time.Second)
	setDefault(&t.BootstrapDelay, time.Second)
	setDefault(&t.SummaryDeadline, 6*time.Second)
	setDefault(&t.ReadyTimeout, 3*time.Second)
}

// Config configures a Service.
type Config struct {
	// Self is the node's own record; an incarnation of zero is set from the clock.
	Self membership.Record
	// Seeds are the addresses (IP and port) that a node without peers dials.
	Seeds []string
	// Source may be nil; the node then never reads the store.
	Source Source
	// Store holds leases and contacts. It may be nil; the node then never calls it.
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
	// Members holds the timeouts of the member table.
	Members membership.Options
	// OnVersion is called in order for every version that becomes active: the
	// accepted one when the node becomes ready, and each later one. OnMembers is
	// called with the view after changes of the table. Neither may block for long.
	OnVersion func(*lists.Version)
	OnMembers func(*membership.View)
	// HandshakesPerSecond bounds the links accepted per second.
	HandshakesPerSecond float64
	// Memory is what long messages of peers may hold; nil limits nothing.
	Memory *heldmemory.Account
	// MaxConcurrentBodies bounds the whole bodies that are being sent at any time.
	MaxConcurrentBodies int
}

// DefaultMaxConcurrentBodies is the default of Config.MaxConcurrentBodies.
const DefaultMaxConcurrentBodies = 4

// ErrConfig marks errors in a Config.
var ErrConfig = errors.New("distribution: invalid configuration")

// prepare sets the defaults and checks the node's own record.
func (c *Config) prepare() error {
	c.Timing.setDefaults()
	c.MaxConcurrentBodies = lo.CoalesceOrEmpty(c.MaxConcurrentBodies, DefaultMaxConcurrentBodies)
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
