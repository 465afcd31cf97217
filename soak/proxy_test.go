package soak

import (
	"io"
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
	// faults are the modes of the active faults, those of the directions to the target
	// and back, by the ID of the fault. changed is closed and replaced when they change.
	faults  map[int][2]linkMode
	lastID  int
	changed chan struct{}
	// silences counts how often the open connections went silent for good.
	silences int
	conns    map[net.Conn]bool
	closed   bool
}

func newProxy(address, target string) *proxy {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: listener, target: target, faults: map[int][2]linkMode{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
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
	go p.copy(out, in, 0, p.silences)
	go p.copy(in, out, 1, p.silences)
}

// copy forwards the bytes of one direction. Opened is the number of silences before the
// connection was opened; a silent connection passes neither bytes nor its end.
func (p *proxy) copy(to, from net.Conn, direction, opened int) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			p.mu.Lock()
			mode, changed, isSilent := p.mode(direction), p.changed, p.silences != opened
			p.mu.Unlock()
			if isSilent {
				_, _ = io.Copy(io.Discard, from) // Ends with the connection.
				p.closeConns(from)
				return
			}
			if mode == delay {
				time.Sleep(proxyDelay)
			}
			if mode != hold {
				break
			}
			<-changed
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			p.closeConns(to, from)
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

// mode returns the mode of a direction. If several faults are active, a direction that
// one of them holds is held, and one that none holds but one delays is delayed. The
// caller holds mu.
func (p *proxy) mode(direction int) linkMode {
	mode := pass
	for _, modes := range p.faults {
		switch {
		case modes[direction] == hold:
			return hold
		case modes[direction] == delay:
			mode = delay
		}
	}
	return mode
}

// beginFault applies the modes until the returned function is called.
func (p *proxy) beginFault(modes [2]linkMode) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := p.lastID
	p.faults[id] = modes
	p.announceChange()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.faults, id)
		p.announceChange()
	}
}

// announceChange wakes the directions that are held. The caller holds mu.
func (p *proxy) announceChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// silence makes all open connections silent for good. New ones are not affected.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silences++
	p.announceChange()
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
	clear(p.faults)
	p.announceChange()
	p.mu.Unlock()
	p.reset()
}
