package faultnet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// acceptBacklog is the number of connections of a listener that may wait for
// Accept.
const acceptBacklog = 256

// Dialer returns a dialer for the node at the address from that connects to the
// in-memory listeners of this network.
func (n *Network) Dialer(from string) DialFunc { return n.Wrap(from, n.dialMemory) }

func (n *Network) dialMemory(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Wrapf(ErrConnectionRefused, "%s", address)
	}
	client, server := net.Pipe()
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Wrapf(ErrConnectionRefused, "%s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen returns an in-memory listener for an address of this network.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("faultnet: address %s is in use", address)
	}
	l := &listener{
		network: n, address: address,
		backlog: make(chan net.Conn, acceptBacklog), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

type listener struct {
	network   *Network
	address   string
	backlog   chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

func (l *listener) Addr() net.Addr { return memoryAddr(l.address) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}
