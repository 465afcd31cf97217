package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
)

// proxy forwards the connections to an address. When a host is cut off, its connections are
// reset, and further ones are refused until the cut ends.
type proxy struct {
	target string

	mu sync.Mutex
	// all is set while all connections are cut, from while those of one host are.
	all  bool
	from map[string]bool
	// conns holds both ends of the open connections, by the host that opened them.
	conns map[net.Conn]string
}

func newProxy(address, target string) *proxy {
	l, err := net.Listen("tcp", address)
	if err != nil {
		abandon(err)
	}
	p := &proxy{target: target, from: map[string]bool{}, conns: map[net.Conn]string{}}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in)
		}
	}()
	return p
}

// cut begins or ends the cut of a host, or of all with an empty name.
func (p *proxy) cut(host string, isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host == "" {
		p.all = isCut
	} else {
		p.from[host] = isCut
	}
	for c, from := range p.conns {
		if p.all || p.from[from] {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// add records the ends of a connection. It reports false if its host is cut off.
func (p *proxy) add(host string, ends ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all || p.from[host] {
		for _, c := range ends {
			reset(c)
		}
		return false
	}
	for _, c := range ends {
		p.conns[c] = host
	}
	return true
}

func (p *proxy) remove(ends ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range ends {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// serve forwards a connection. Hosts state their name in the first request of a link.
func (p *proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	var head bytes.Buffer
	r := bufio.NewReader(in)
	host := ""
	for {
		line, err := r.ReadBytes('\n')
		head.Write(line)
		if err != nil {
			return
		}
		if name, found := bytes.CutPrefix(line, []byte(http.CanonicalHeaderKey("geraniumnotch-host")+": ")); found {
			host = string(bytes.TrimSpace(name))
		}
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.add(host, in, out) {
		return
	}
	defer p.remove(in, out)
	if _, err := out.Write(head.Bytes()); err != nil {
		return
	}
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(out, r, in) })
	wait.Go(func() { p.copy(in, out, out) })
	wait.Wait()
}

func (p *proxy) copy(to net.Conn, from io.Reader, source net.Conn) {
	_, _ = io.Copy(to, from) // The end of either side ends both.
	_, _ = to.Close(), source.Close()
}
