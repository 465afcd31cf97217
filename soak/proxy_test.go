package soak

import (
	"net"
	"sync"
	"time"
)

// linkMode is what a proxy does with the bytes of one direction.
type linkMode uint8

const (
	pass linkMode = iota
	// hold withholds the bytes until the mode changes, like a link that is cut.
	hold
	// delay forwards each chunk after proxyDelay.
	delay
)

// proxyDelay is the delay of each chunk in mode delay.
const proxyDelay = 120 * time.Millisecond

// proxy forwards connections on loopback and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// modes are those of the directions to the target and back. changed is closed
	// and replaced when they change.
	modes   [2]linkMode
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

func newProxy(address, target string) *proxy {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		// A connection to the target that is slow to open must not delay the others.
		go p.connect(in)
	}
}

// connect opens the connection to the target and forwards the bytes.
func (p *proxy) connect(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close() // The client sees a closed connection.
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_, _ = in.Close(), out.Close() // The proxy has ended.
		return
	}
	p.conns[in], p.conns[out] = true, true
	go p.copy(out, in, 0)
	go p.copy(in, out, 1)
}

func (p *proxy) copy(to, from net.Conn, direction int) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			p.mu.Lock()
			mode, changed := p.modes[direction], p.changed
			p.mu.Unlock()
			if mode == delay {
				time.Sleep(proxyDelay)
			}
			if mode != hold {
				break
			}
			<-changed
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close() // It may be closed already.
	}
}

// setModes sets the modes of both directions.
func (p *proxy) setModes(toTarget, fromTarget linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes = [2]linkMode{toTarget, fromTarget}
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // It may be closed already.
		}
		_ = c.Close() // It may be closed already.
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // Makes serve return.
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.setModes(pass, pass)
	p.reset()
}
