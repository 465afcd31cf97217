package soak

import (
	"net"
	"sync"
	"time"
)

// way says what a proxy does to the bytes of a direction.
type way uint8

const (
	pass way = iota
	// hold keeps the bytes back until the way changes, as on a link that is cut.
	hold
	// delay lets each part wait.
	delay
)

// proxyDelay is what a delayed part waits.
const proxyDelay = 120 * time.Millisecond

// proxy forwards connections on loopback and harms them.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// ways are the ways to the target and back; changed is closed when they change.
	ways    [2]way
	changed chan struct{}
	open    map[net.Conn]bool
}

func newProxy(address, target string) *proxy {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close() // The caller sees the end.
			continue
		}
		p.mu.Lock()
		p.open[in], p.open[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, 0)
		go p.copy(in, out, 1)
	}
}

func (p *proxy) copy(to, from net.Conn, direction int) {
	defer p.end(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			p.mu.Lock()
			w, changed := p.ways[direction], p.changed
			p.mu.Unlock()
			if w == delay {
				time.Sleep(proxyDelay)
			}
			if w != hold {
				break
			}
			<-changed
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

func (p *proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.open, c)
		_ = c.Close() // It may be closed already.
	}
}

// set changes what happens to both directions.
func (p *proxy) set(there, back way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ways = [2]way{there, back}
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // It may be closed already.
		}
		_ = c.Close() // It may be closed already.
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // Ends serve.
	p.set(pass, pass)
	p.reset()
}
