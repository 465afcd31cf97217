package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

var crowds = flag.Bool("soak.crowds", false, "run the tests with crowds of clients, which need the machine for themselves")

const (
	// crowdMemoryMB and crowdDescriptors are the limits of the machines, lowered so that
	// a small crowd exceeds them. Both are also the bounds that the test checks.
	crowdMemoryMB    = 64
	crowdDescriptors = 256
	// crowdSize clients of one body of the longest legal length hold more than the memory
	// of a machine, connectionCrowdSize clients open more than its descriptors.
	crowdSize           = 96
	connectionCrowdSize = 320
	// maxCrowdBody is the longest body that the configuration of the stand-in allows.
	maxCrowdBody = 1 << 20
	// crowdWriteTimeout ends the writes of clients from which the host does not read.
	crowdWriteTimeout = 3 * time.Second
)

// crowd is what each client of a crowd sends before it stops and keeps its connection open.
type crowd struct {
	clients int
	// hosts is the number of hosts that the clients call.
	hosts int
	// send writes to the connection until it fails.
	send func(w io.Writer, head string)
}

// writeAll writes text in pieces of the given size.
func writeAll(w io.Writer, text string, piece int) {
	for len(text) > 0 {
		n, err := io.WriteString(w, text[:min(piece, len(text))])
		if err != nil {
			return // The host has closed the connection or does not read.
		}
		text = text[n:]
	}
}

// lengthHead and chunkedHead end the head of a request.
func lengthHead(head string, bytes int) string {
	return head + "Content-Length: " + strconv.Itoa(bytes) + "\r\n\r\n"
}

func chunkedHead(head string) string { return head + "Transfer-Encoding: chunked\r\n\r\n" }

// chunks returns a body in chunks with an extension, without the last chunk.
func chunks(bytes, size int, extension string) string {
	chunk := strconv.FormatInt(int64(size), 16) + extension + "\r\n" + strings.Repeat("x", size) + "\r\n"
	return strings.Repeat(chunk, bytes/size)
}

var crowdKinds = map[string]crowd{
	"whole bodies that stop short of their end": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, lengthHead(head, maxCrowdBody)+strings.Repeat("x", maxCrowdBody-8), maxCrowdBody)
	}},
	"bodies piece by piece": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, lengthHead(head, maxCrowdBody)+strings.Repeat("x", maxCrowdBody-8), 4<<10)
	}},
	"bodies at several hosts": {crowdSize * 2, 2, func(w io.Writer, head string) {
		writeAll(w, lengthHead(head, maxCrowdBody)+strings.Repeat("x", maxCrowdBody-8), 64<<10)
	}},
	"complete bodies": {crowdSize, 2, func(w io.Writer, head string) {
		writeAll(w, lengthHead(head, maxCrowdBody)+strings.Repeat("x", maxCrowdBody), 64<<10)
	}},
	"large chunks": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, chunkedHead(head)+chunks(maxCrowdBody-64<<10, 64<<10, ""), 64<<10)
	}},
	"very small chunks": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, chunkedHead(head)+chunks(maxCrowdBody-16, 16, ""), 64<<10)
	}},
	"chunks with long extensions": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, chunkedHead(head)+chunks(maxCrowdBody-1024, 1024, ";a="+strings.Repeat("e", 100)), 64<<10)
	}},
	"unfinished trailers": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, chunkedHead(head)+chunks(maxCrowdBody-64<<10, 64<<10, "")+"0\r\nA: "+strings.Repeat("t", 2048), 64<<10)
	}},
	"bodies announced over the limit": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, lengthHead(head, 64*maxCrowdBody)+strings.Repeat("x", 2*maxCrowdBody), 64<<10)
	}},
	"bodies sent over the limit": {crowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, chunkedHead(head)+chunks(4*maxCrowdBody, 64<<10, ""), 64<<10)
	}},
	"half heads": {connectionCrowdSize, 1, func(w io.Writer, head string) {
		writeAll(w, head+"A: "+strings.Repeat("h", 12<<10), 4<<10)
	}},
	"idle connections": {connectionCrowdSize, 1, func(io.Writer, string) {}},
	"requests behind an unread body": {crowdSize, 1, func(w io.Writer, head string) {
		body := lengthHead(head, maxCrowdBody) + strings.Repeat("x", maxCrowdBody)
		writeAll(w, body+body[:len(body)-8], 64<<10)
	}},
	"responses that are not read": {connectionCrowdSize, 1, func(w io.Writer, head string) {
		get := strings.Replace(head, "POST /one/", "GET /one/0/400000", 1)
		writeAll(w, get+"\r\n", 4<<10)
	}},
}

// join sends what a client of the crowd sends and keeps the connection open until left.
func (k *crowd) join(h *host, left <-chan struct{}, sent func()) {
	conn, err := h.dial()
	if err != nil {
		sent()
		return // The host accepts no further connection.
	}
	header := http.Header{}
	standin.SetClientHeaders(header, fmt.Sprintf("crowd-%d", rand.Uint64()), time.Hour)
	var head strings.Builder
	head.WriteString("POST /one/ HTTP/1.1\r\nHost: h.example\r\n")
	_ = header.Write(&head) // A strings.Builder returns no errors.
	_ = conn.conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	k.send(conn.conn, head.String())
	sent()
	<-left
	conn.close()
}

// descriptors returns the number of open files of the process.
func (h *host) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// serves makes an ordinary call at the host until one is served, and reports whether one
// was within recoveryTimeout. A host may reject clients while a crowd is there.
func (h *host) serves(bodyBytes int) bool {
	for began := time.Now(); time.Since(began) < recoveryTimeout; {
		l := &client{host: h, unchecked: true}
		call := l.call("one/0/0", "one", bodyBytes)
		l.close()
		if call.isServed() {
			return true
		}
	}
	return false
}

// Guards against clients that nobody controls: whatever a crowd sends and holds, no process
// ends or hangs, memory and descriptors stay within those of the machine, and an ordinary
// call is answered while the crowd is there. A single long body is served in calm.
func TestHostsOutliveCrowds(t *testing.T) {
	if !*crowds {
		t.Skip("run with -soak.crowds, apart from other load")
	}
	for name, k := range crowdKinds {
		Convey("a crowd with "+name, t, func() {
			c := newLimitedCluster(t.TempDir(), rand.New(rand.NewPCG(1, 0)), defaultHosts, false, hostLimits{memoryMB: crowdMemoryMB, descriptors: crowdDescriptors})
			defer c.close()
			So(c.awaitServing(), ShouldBeTrue)
			left := make(chan struct{})
			var members, sending sync.WaitGroup
			sending.Add(k.clients)
			for i := range k.clients {
				members.Go(func() { k.join(c.hosts[i%k.hosts], left, sending.Done) })
			}
			sending.Wait()
			served := c.hosts[0].serves(2 << 10)
			descriptors := c.hosts[0].descriptors() // The call came behind the crowd.
			close(left)
			members.Wait()
			for _, h := range c.hosts {
				t.Logf("%s, %s: peak memory %d MB", name, h.name, h.peakMemoryMB())
				So(h.peakMemoryMB(), ShouldBeBetween, 0, crowdMemoryMB)
			}
			t.Logf("%s: %d descriptors", name, descriptors)
			So(descriptors, ShouldBeBetween, 0, crowdDescriptors)
			So(served, ShouldBeTrue)
			So(c.hosts[0].serves(maxCrowdBody), ShouldBeTrue)
			So(c.fail("end"), ShouldResemble, []string{"end"})
		})
	}
}
