// Package faultnet injects network faults between nodes of one process: cuts
// between groups of addresses in one or both directions, and delays. It wraps the
// connections of a real dialer, or replaces the network by in-memory pipes, which
// work under testing/synctest.
package faultnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// ErrConnectionRefused is returned when no listener has the address.
var ErrConnectionRefused = errors.New("faultnet: connection refused")

type direction struct{ from, to string }

// Network holds the faults between groups of addresses. An address that was put
// into no group is a group of its own. Its methods are safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	groups    map[string]string
	cuts      map[direction]bool
	delays    map[direction]time.Duration
	listeners map[string]*listener
	// silenced is closed and replaced when the open connections go silent.
	silenced chan struct{}
	// changed is closed and replaced whenever a fault changes.
	changed chan struct{}
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		groups: map[string]string{}, cuts: map[direction]bool{},
		delays: map[direction]time.Duration{}, listeners: map[string]*listener{},
		silenced: make(chan struct{}), changed: make(chan struct{}),
	}
}

// update changes the faults under the lock and wakes the goroutines that wait for
// a change.
func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Group puts addresses into a group.
func (n *Network) Group(group string, addresses ...string) {
	n.update(func() {
		for _, a := range addresses {
			n.groups[a] = group
		}
	})
}

// Cut stops the traffic from one group to another. Bytes in flight are delayed, as
// by TCP retransmission, and arrive after the cut is healed unless the connection
// was closed.
func (n *Network) Cut(from, to string) {
	n.update(func() { n.cuts[direction{from, to}] = true })
}

// CutBoth stops the traffic between two groups.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Restore removes the cut from one group to another.
func (n *Network) Restore(from, to string) {
	n.update(func() { delete(n.cuts, direction{from, to}) })
}

// Heal removes all cuts.
func (n *Network) Heal() { n.update(func() { clear(n.cuts) }) }

// Silence stops the traffic of all open connections for good, without closing them. New
// ones are not affected.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.silenced)
	n.silenced = make(chan struct{})
}

func (n *Network) silenceSignal() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silenced
}

// Delay sets the delay of every write from one group to another.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.update(func() { n.delays[direction{from, to}] = d })
}

func (n *Network) group(address string) string {
	if g, ok := n.groups[address]; ok {
		return g
	}
	return address
}

// faultsBetween returns whether the traffic between two addresses is cut, its
// delay, and a channel that is closed when a fault changes.
func (n *Network) faultsBetween(from, to string) (bool, time.Duration, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{n.group(from), n.group(to)}
	return n.cuts[d], n.delays[d], n.changed
}

// waitForTraffic waits until there is no cut between two addresses, and then for
// the delay. It returns net.ErrClosed when done is closed first.
func (n *Network) waitForTraffic(from, to string, done <-chan struct{}) error {
	for {
		cut, delay, changed := n.faultsBetween(from, to)
		if !cut {
			return sleep(delay, done)
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

func sleep(delay time.Duration, done <-chan struct{}) error {
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-done:
		return net.ErrClosed
	}
}

// Wrap returns a dialer for the node at the address from. Its connections are
// subject to the faults of both directions.
func (n *Network) Wrap(from string, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := n.waitForTraffic(from, address, ctx.Done()); err != nil {
			return nil, errors.Wrapf(context.Cause(ctx), "faultnet: dial %s", address)
		}
		if err := n.waitForTraffic(address, from, ctx.Done()); err != nil {
			return nil, errors.Wrapf(context.Cause(ctx), "faultnet: dial %s", address)
		}
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner, network: n, from: from, to: address, silenced: n.silenceSignal(), closed: make(chan struct{})}, nil
	}
}

// conn is the dialing side of a connection. It injects the faults of both
// directions.
type conn struct {
	net.Conn
	network   *Network
	from, to  string
	silenced  <-chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// awaitTraffic waits until bytes may pass between two addresses. It returns net.ErrClosed
// when the connection is closed first.
func (c *conn) awaitTraffic(from, to string) error {
	select {
	case <-c.silenced:
		<-c.closed
		return net.ErrClosed
	default:
		return c.network.waitForTraffic(from, to, c.closed)
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitTraffic(c.from, c.to); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if passErr := c.awaitTraffic(c.to, c.from); passErr != nil {
		return 0, passErr
	}
	return n, err
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
