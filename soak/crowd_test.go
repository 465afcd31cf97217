package soak

import (
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/transport"
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
	// maxCrowdBody is the longest body that the configuration of the stand-in allows, and
	// maxLongCrowdBody the longest that those of the users do. longBodyCrowdSize clients
	// of one such body hold many times the memory of a machine.
	maxCrowdBody      = 1 << 20
	maxLongCrowdBody  = 64 << 20
	longBodyCrowdSize = 24
	// crowdWriteTimeout ends the writes of clients from which the host does not read.
	crowdWriteTimeout = 3 * time.Second
	// returnsAtOnce is how often each client that comes back at once connects.
	returnsAtOnce = 10
	// largeCrowdSize clients open most of the connections that a machine of
	// largeCrowdMemoryMB, the smallest of the users, has descriptors for.
	largeCrowdSize, largeCrowdMemoryMB, largeCrowdDescriptors = 1400, 184, 4096
)

// crowd is what each client of a crowd sends before it stops and keeps its connection open.
type crowd struct {
	clients int
	// hosts is the number of hosts that the clients call.
	hosts int
	// send writes to the connection until it fails. Each call of head returns the head of
	// another request up to its own headers, without the blank line.
	send func(w io.Writer, head headFunc)
	// limits replaces the limits of crowdMemoryMB and crowdDescriptors when it is not zero.
	limits hostLimits
	// listener is the listener of the hosts that the clients call, empty for that of clients.
	listener string
	// keyed is set if the configuration has workspaces. All clients have the key of one.
	keyed bool
	// returns is how often each client connects again at once instead of staying.
	returns int
	// stops is set if the first host gets a stop signal while the crowd is there.
	stops bool
}

// headFunc returns the head of a new request with the given method and target.
type headFunc func(request string) string

// newHead returns a headFunc.
func (k *crowd) newHead() headFunc {
	return func(request string) string {
		header := http.Header{}
		// An even ID is one of the first workspace.
		id := fmt.Sprintf("%016x", lastCallID.Add(2)&^1)
		standin.SetClientHeaders(header, id, time.Hour)
		if k.keyed {
			standin.SetKey(header, keyOf(workspaceOf(id)))
		}
		var head strings.Builder
		head.WriteString(request + " HTTP/1.1\r\nHost: h.example\r\n")
		_ = header.Write(&head) // A strings.Builder returns no errors.
		return head.String()
	}
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

// shortFields returns the given number of header fields of five bytes with different names,
// which take many times as much once they are parsed.
func shortFields(fields int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := range fields {
		b.WriteString(string([]byte{letters[i%26], letters[i/26%26], letters[i/676%26], ':', '\n'}))
	}
	return b.String()
}

const (
	// maxShortFields is the number of short fields that fit into the longest head that the
	// configuration of the stand-in allows, beside the fields of clients.
	maxShortFields = 3000
	// maxOtherFields is the number that fits into the longest head of net/http.
	maxOtherFields = 180_000
	// pipelinedHeads and pipelinedRequests are the numbers of requests of a client that does
	// not wait for responses, with many fields and with few.
	pipelinedHeads, pipelinedRequests = 30, 60
)

// sendHeads sends requests with short fields and reads no response.
func sendHeads(request string) func(w io.Writer, head headFunc) {
	fields := shortFields(maxShortFields) + "\r\n"
	return func(w io.Writer, head headFunc) {
		for range pipelinedHeads {
			writeAll(w, head(request)+fields, 64<<10)
		}
	}
}

// sendRequests sends requests and reads no response.
func sendRequests(request string) func(w io.Writer, head headFunc) {
	return func(w io.Writer, head headFunc) {
		for range pipelinedRequests {
			writeAll(w, head(request)+"\r\n", 64<<10)
		}
	}
}

// sendBody sends a body that stops short of its end.
func sendBody(request string, bytes, piece int) func(w io.Writer, head headFunc) {
	body := sync.OnceValue(func() string { return strings.Repeat("x", bytes-8) })
	return func(w io.Writer, head headFunc) {
		writeAll(w, lengthHead(head(request), bytes), piece)
		writeAll(w, body(), piece)
	}
}

// sendChunks sends chunks and no last one.
func sendChunks(bytes, size int, extension, rest string) func(w io.Writer, head headFunc) {
	body := sync.OnceValue(func() string { return chunks(bytes, size, extension) + rest })
	return func(w io.Writer, head headFunc) {
		writeAll(w, chunkedHead(head("POST /one/")), 64<<10)
		writeAll(w, body(), 64<<10)
	}
}

func sendHalfHead(w io.Writer, head headFunc) {
	writeAll(w, head("POST /one/")+"A: "+strings.Repeat("h", 12<<10), 4<<10)
}

func sendNothing(io.Writer, headFunc) {}

// sendOtherHead sends a head of short fields without its end, as long as net/http allows.
func sendOtherHead() func(w io.Writer, head headFunc) {
	fields := strings.Repeat(shortFields(26*26*26), maxOtherFields/(26*26*26))
	return func(w io.Writer, head headFunc) { writeAll(w, head("GET /")+fields, 64<<10) }
}

// sendFrame opens a link as another host does, and sends a message that stops short of its end.
func sendFrame(w io.Writer, _ headFunc) {
	writeAll(w, handshake(rand.Uint64())+frameHead, 64<<10)
	writeAll(w, longFrame(), 64<<10)
}

var longFrame = sync.OnceValue(func() string { return strings.Repeat("x", maxLongFrame-8) })

// maxLongFrame is a legal length of a message between hosts.
const maxLongFrame = 31 << 20

// frameHead is the head of a masked WebSocket frame of that length (RFC 6455, section 5.2).
var frameHead = string(binary.BigEndian.AppendUint64([]byte{0x82, 0xff}, maxLongFrame)) + "\x00\x00\x00\x00"

// handshake returns the head of a request with which a host opens a link.
func handshake(n uint64) string {
	return "GET " + transport.Path + " HTTP/1.1\r\nHost: h.example\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nGeraniumnotch-Host: crowd-" + strconv.FormatUint(n, 16) + "\r\n\r\n"
}

var (
	longBodies    = hostLimits{memoryMB: crowdMemoryMB, descriptors: crowdDescriptors, maxBodyBytes: maxLongCrowdBody}
	unconfigured  = hostLimits{memoryMB: crowdMemoryMB, descriptors: crowdDescriptors, withholdsConfiguration: true}
	largeMachines = hostLimits{memoryMB: largeCrowdMemoryMB, descriptors: largeCrowdDescriptors}
)

var crowdKinds = map[string]crowd{
	"whole bodies that stop short of their end": {clients: crowdSize, hosts: 1, send: sendBody("POST /one/", maxCrowdBody, maxCrowdBody)},
	"bodies piece by piece":                     {clients: crowdSize, hosts: 1, send: sendBody("POST /one/", maxCrowdBody, 4<<10)},
	"bodies at several hosts":                   {clients: crowdSize * 2, hosts: 2, send: sendBody("POST /one/", maxCrowdBody, 64<<10)},
	"complete bodies": {clients: crowdSize, hosts: 2, send: func(w io.Writer, head headFunc) {
		writeAll(w, lengthHead(head("POST /one/"), maxCrowdBody)+strings.Repeat("x", maxCrowdBody), 64<<10)
	}},
	"large chunks":                {clients: crowdSize, hosts: 1, send: sendChunks(maxCrowdBody-64<<10, 64<<10, "", "")},
	"very small chunks":           {clients: crowdSize, hosts: 1, send: sendChunks(maxCrowdBody-16, 16, "", "")},
	"chunks with long extensions": {clients: crowdSize, hosts: 1, send: sendChunks(maxCrowdBody-1024, 1024, ";a="+strings.Repeat("e", 100), "")},
	"unfinished trailers":         {clients: crowdSize, hosts: 1, send: sendChunks(maxCrowdBody-64<<10, 64<<10, "", "0\r\nA: "+strings.Repeat("t", 2048))},
	"bodies announced over the limit": {clients: crowdSize, hosts: 1, send: func(w io.Writer, head headFunc) {
		writeAll(w, lengthHead(head("POST /one/"), 64*maxCrowdBody)+strings.Repeat("x", 2*maxCrowdBody), 64<<10)
	}},
	"bodies sent over the limit": {clients: crowdSize, hosts: 1, send: sendChunks(4*maxCrowdBody, 64<<10, "", "")},
	"half heads":                 {clients: connectionCrowdSize, hosts: 1, send: sendHalfHead},
	"idle connections":           {clients: connectionCrowdSize, hosts: 1, send: sendNothing},
	"requests behind an unread body": {clients: crowdSize, hosts: 1, send: func(w io.Writer, head headFunc) {
		body := lengthHead(head("POST /one/"), maxCrowdBody) + strings.Repeat("x", maxCrowdBody)
		writeAll(w, body+body[:len(body)-8], 64<<10)
	}},
	"responses that are not read": {clients: connectionCrowdSize, hosts: 1, send: func(w io.Writer, head headFunc) {
		writeAll(w, head("GET /one/0/400000")+"\r\n", 4<<10)
	}},

	"whole bodies of 64 MiB":           {clients: longBodyCrowdSize, hosts: 1, limits: longBodies, send: sendBody("POST /one/", maxLongCrowdBody, maxCrowdBody)},
	"bodies of 64 MiB piece by piece":  {clients: longBodyCrowdSize, hosts: 1, limits: longBodies, send: sendBody("POST /one/", maxLongCrowdBody, 4<<10)},
	"bodies of 64 MiB for other hosts": {clients: longBodyCrowdSize, hosts: 2, limits: longBodies, send: sendBody("POST /two/", maxLongCrowdBody, 64<<10)},
	"large chunks of 64 MiB":           {clients: longBodyCrowdSize, hosts: 1, limits: longBodies, send: sendChunks(maxLongCrowdBody-64<<10, 64<<10, "", "")},
	"very small chunks of 64 MiB":      {clients: longBodyCrowdSize, hosts: 1, limits: longBodies, send: sendChunks(maxLongCrowdBody-16, 16, "", "")},
	"bodies sent over 64 MiB":          {clients: longBodyCrowdSize, hosts: 1, limits: longBodies, send: sendChunks(maxLongCrowdBody+maxCrowdBody, 64<<10, "", "")},

	"pipelined requests whose responses are not read": {clients: connectionCrowdSize, hosts: 1, send: sendRequests("GET /one/0/60000")},
	"pipelined heads of short fields":                 {clients: connectionCrowdSize, hosts: 1, send: sendHeads("GET /one/0/60000")},
	"heads of short fields for other hosts":           {clients: connectionCrowdSize, hosts: 1, send: sendHeads("GET /two/0/60000")},
	"unread responses of other hosts":                 {clients: connectionCrowdSize, hosts: 1, send: sendRequests("GET /two/0/60000")},
	"unread long responses of other hosts":            {clients: connectionCrowdSize, hosts: 1, send: sendRequests("GET /two/0/300000")},
	"half heads of short fields": {clients: connectionCrowdSize, hosts: 1, send: func(w io.Writer, head headFunc) {
		writeAll(w, head("GET /one/")+shortFields(maxShortFields), 4<<10)
	}},
	"heads of short fields while an endpoint hangs": {clients: connectionCrowdSize, hosts: 1, send: sendHeads("GET /one/1900/0")},
	"bodies while an endpoint hangs": {clients: crowdSize, hosts: 1, send: func(w io.Writer, head headFunc) {
		writeAll(w, lengthHead(head("POST /one/1900/0"), maxCrowdBody)+strings.Repeat("x", maxCrowdBody), 64<<10)
	}},
	"bodies of other hosts while an endpoint hangs": {clients: crowdSize * 2, hosts: 2, send: func(w io.Writer, head headFunc) {
		writeAll(w, lengthHead(head("POST /two/1900/0"), maxCrowdBody)+strings.Repeat("x", maxCrowdBody), 64<<10)
	}},

	"bodies before the first configuration":                {clients: crowdSize, hosts: 1, limits: unconfigured, send: sendBody("POST /one/", maxCrowdBody, 64<<10)},
	"chunks before the first configuration":                {clients: crowdSize, hosts: 1, limits: unconfigured, send: sendChunks(4*maxCrowdBody, 64<<10, "", "")},
	"heads of short fields before the first configuration": {clients: connectionCrowdSize, hosts: 1, limits: unconfigured, send: sendHeads("GET /one/0/60000")},

	"bodies with the key of one workspace":                {clients: crowdSize, hosts: 1, keyed: true, send: sendBody("POST /one/", maxCrowdBody, 64<<10)},
	"heads of short fields with the key of one workspace": {clients: connectionCrowdSize, hosts: 1, keyed: true, send: sendHeads("GET /one/0/60000")},

	"bodies in a planned stop":                {clients: crowdSize, hosts: 1, stops: true, send: sendBody("POST /one/", maxCrowdBody, 64<<10)},
	"half heads in a planned stop":            {clients: connectionCrowdSize, hosts: 1, stops: true, send: sendHalfHead},
	"heads of short fields in a planned stop": {clients: connectionCrowdSize, hosts: 1, stops: true, send: sendHeads("GET /one/0/60000")},
	"unread responses in a planned stop":      {clients: connectionCrowdSize, hosts: 1, stops: true, send: sendRequests("GET /one/0/60000")},

	"bodies of clients that come back at once":                {clients: crowdSize, hosts: 1, returns: returnsAtOnce, send: sendBody("POST /one/", maxCrowdBody, 64<<10)},
	"heads of short fields of clients that come back at once": {clients: connectionCrowdSize, hosts: 1, returns: returnsAtOnce, send: sendHeads("GET /one/0/60000")},
	"connections that come back at once":                      {clients: connectionCrowdSize, hosts: 1, returns: returnsAtOnce, send: sendNothing},

	"half heads for the listener of readiness":           {clients: crowdSize, hosts: 1, listener: "ready", send: sendOtherHead()},
	"half heads for the listener of announcements":       {clients: crowdSize, hosts: 1, listener: "announcements", send: sendOtherHead()},
	"half heads for the listener of metrics":             {clients: crowdSize, hosts: 1, listener: "metrics", send: sendOtherHead()},
	"half heads for the listener of other hosts":         {clients: crowdSize, hosts: 1, listener: "peers", send: sendOtherHead()},
	"long messages for the listener of other hosts":      {clients: crowdSize, hosts: 1, listener: "peers", send: sendFrame},
	"idle connections to the listener of readiness":      {clients: connectionCrowdSize, hosts: 1, listener: "ready", send: sendNothing},
	"idle connections to the listener of announcements":  {clients: connectionCrowdSize, hosts: 1, listener: "announcements", send: sendNothing},
	"idle connections to the listener of metrics":        {clients: connectionCrowdSize, hosts: 1, listener: "metrics", send: sendNothing},
	"idle connections to the listener of other hosts":    {clients: connectionCrowdSize, hosts: 1, listener: "peers", send: sendNothing},
	"metrics that are not read":                          {clients: crowdSize, hosts: 1, listener: "metrics", send: sendRequests("GET /metrics")},
	"1,400 clients with pipelined heads of short fields": {clients: largeCrowdSize, hosts: 1, limits: largeMachines, send: sendHeads("GET /one/0/60000")},
	"1,400 clients whose responses are not read":         {clients: largeCrowdSize, hosts: 1, limits: largeMachines, send: sendRequests("GET /one/0/60000")},
}

func (k *crowd) listenerName() string {
	if k.listener == "" {
		return "calls"
	}
	return k.listener
}

// join sends what a client of the crowd sends and keeps the connection open until left.
func (k *crowd) join(h *host, left <-chan struct{}, sent func()) {
	listener := k.listenerName()
	for range k.returns {
		if conn, err := net.DialTimeout("tcp", h.addresses[listener], connectTimeout); err == nil {
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			k.send(conn, k.newHead())
			_ = conn.Close() // The host may have closed it.
		}
	}
	conn, err := net.DialTimeout("tcp", h.addresses[listener], connectTimeout)
	if err != nil {
		sent()
		return // The host accepts no further connection.
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	k.send(conn, k.newHead())
	sent()
	<-left
	_ = conn.Close() // The host may have closed it.
}

// descriptors returns the number of open files of the process.
func (h *host) descriptors() int { return descriptorsOf(h.process.Process.Pid) }

func descriptorsOf(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
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

// stopPlanned sends the process a stop signal and waits until it has ended. It returns the
// peak of its memory until then.
func (h *host) stopPlanned() (peakMB int) {
	h.processMu.Lock()
	defer h.processMu.Unlock()
	defer h.beginFault(true)()
	h.stopExpected.Store(true)
	h.signal(syscall.SIGTERM)
	for began := time.Now(); time.Since(began) < recoveryTimeout; {
		peakMB = max(peakMB, h.peakMemoryMB())
		select {
		case <-h.exited:
			if code := h.process.ProcessState.ExitCode(); code != 0 {
				h.cluster.fail("%s exited with status %d after a stop signal", h.name, code)
			}
			return peakMB
		case <-time.After(20 * time.Millisecond):
		}
	}
	h.cluster.fail("%s did not exit after a stop signal", h.name)
	return peakMB
}

// Guards against clients that nobody controls: whatever a crowd sends and holds, no process
// ends or hangs, memory and descriptors stay within those of the machine, and an ordinary
// call is answered while the crowd is there. A single long body is served in calm.
func TestHostsOutliveCrowds(t *testing.T) {
	if !*crowds {
		t.Skip("run with -soak.crowds, apart from other load")
	}
	for name, k := range crowdKinds {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			Convey("a crowd with "+name, t, func() { k.check(t, name) })
		})
	}
}

// check lets the crowd call a cluster.
func (k *crowd) check(t *testing.T, name string) {
	limits := k.limits
	if limits.memoryMB == 0 {
		limits.memoryMB, limits.descriptors = crowdMemoryMB, crowdDescriptors
	}
	c := newLimitedCluster(t.TempDir(), rand.New(rand.NewPCG(1, 0)), defaultHosts, k.keyed, limits)
	defer c.close()
	if limits.withholdsConfiguration {
		c.hosts[0].awaitListening()
	} else {
		So(c.awaitServing(), ShouldBeTrue)
	}
	left := make(chan struct{})
	var members, sending sync.WaitGroup
	sending.Add(k.clients)
	for i := range k.clients {
		members.Go(func() { k.join(c.hosts[i%k.hosts], left, sending.Done) })
	}
	sending.Wait()
	stoppedMB := 0
	if k.stops {
		stoppedMB = c.hosts[0].stopPlanned()
		c.hosts[0].start()
	}
	if limits.withholdsConfiguration {
		c.writeVersion()
	}
	awaitAnswer(c.hosts[0].addresses[k.listenerName()])
	served := c.hosts[0].serves(2 << 10)
	descriptors := c.hosts[0].descriptors() // The call came behind the crowd.
	close(left)
	members.Wait()
	for _, h := range c.hosts {
		t.Logf("%s, %s: peak memory %d MB", name, h.name, h.peakMemoryMB())
		So(h.peakMemoryMB(), ShouldBeBetween, 0, limits.memoryMB)
	}
	t.Logf("%s: %d descriptors, peak memory %d MB in a stop", name, descriptors, stoppedMB)
	So(stoppedMB, ShouldBeLessThan, limits.memoryMB)
	So(descriptors, ShouldBeBetween, 0, limits.descriptors)
	So(served, ShouldBeTrue)
	So(c.hosts[0].serves(maxCrowdBody), ShouldBeTrue)
	So(c.fail("end"), ShouldResemble, []string{"end"})
}
