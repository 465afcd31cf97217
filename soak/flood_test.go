package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

const (
	// floodTime is how long the endpoint of a host floods in each way, which is several
	// times as long as it takes to fill the memory of a host over loopback.
	floodTime = 2 * time.Second
	// floodCallers is the number of clients at each host that call the endpoint meanwhile.
	floodCallers = 8
	// memoryMB is the memory of a host in the settings.
	memoryMB = 200
	// maxDescriptors is the number of files that a process of a host may open in the
	// settings.
	maxDescriptors = 4096
)

// flood is bytes without end: start, in which ID stands for that of the call, and then unit
// repeatedly.
type flood struct {
	start, unit string
	// bytes counts what has been written.
	bytes atomic.Int64
}

// floods are the ways in which an endpoint may send bytes without end.
var floods = map[string]*flood{
	"no response":              {unit: "x"},
	"status line":              {start: "HTTP/1.1 200 ", unit: "x"},
	"header line":              {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nA: ", unit: "x"},
	"header lines":             {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n", unit: "A: x\r\n"},
	"interim responses":        {unit: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"responses to other calls": {unit: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	"body of another response": {start: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1099511627776\r\n\r\n", unit: "x"},
	"body to the end":          {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\n\r\n", unit: "x"},
	"body of 1 TB":             {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Length: 1099511627776\r\n\r\n", unit: "x"},
	"chunks":                   {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "8\r\nunwanted\r\n"},
	"extension of a chunk":     {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", unit: "x"},
	"trailer":                  {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", unit: "A: x\r\n"},
	"bytes after a response":   {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Length: 1\r\n\r\nx", unit: "x"},
	"body of a rejection":      {start: "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n\r\n", unit: "x"},
}

// send writes the flood to the connection until the host closes it.
func (f *flood) send(rw http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }() // The host has closed it.
	written, err := io.WriteString(conn, strings.ReplaceAll(f.start, "ID", id))
	block := bytes.Repeat([]byte(f.unit), 64<<10/len(f.unit))
	for f.bytes.Add(int64(written)); err == nil; f.bytes.Add(int64(written)) {
		written, err = conn.Write(block)
	}
}

// callFlood makes calls at the host until ctx ends. The client reads the responses, or
// waits until it gives up without reading.
func (h *host) callFlood(ctx context.Context, reads bool) {
	for n := 0; ctx.Err() == nil; n++ {
		conn, err := h.dial()
		if err != nil {
			continue
		}
		request, err := http.NewRequest(http.MethodGet, "http://h.example/one/", nil)
		if err != nil {
			panic(err)
		}
		standin.SetClientHeaders(request.Header, fmt.Sprintf("flood-%s-%d-%d", h.name, n, rand.Uint64()), floodTime)
		callCtx, cancel := context.WithTimeout(ctx, floodTime)
		_ = request.Write(conn.conn) // The host may have closed the connection.
		stop := context.AfterFunc(callCtx, conn.close)
		if reads {
			_, _ = io.Copy(io.Discard, conn.conn) // Ends with the connection.
		} else {
			<-callCtx.Done()
		}
		stop()
		cancel()
		conn.close()
	}
}

// peakMemoryMB returns the peak of the process's resident memory.
func (h *host) peakMemoryMB() int { return peakMemoryOf(h.process.Process.Pid) }

func peakMemoryOf(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return -1
	}
	kilobytes := 0
	if _, line, found := strings.Cut(string(status), "VmHWM:"); found {
		_, _ = fmt.Sscan(line, &kilobytes)
	}
	return kilobytes >> 10
}

// Guards against endpoints that send bytes without end, in a head or in a body: the hosts
// that call them must not keep them, and serve the calls of other clients.
func TestHostsOutliveEndpointsThatFlood(t *testing.T) {
	if _, err := os.Stat("/proc/self/status"); err != nil {
		t.Skip("the system does not tell the memory of a process")
	}
	Convey("four hosts, the endpoints of one service flood", t, func() {
		c := newCluster(t.TempDir(), rand.New(rand.NewPCG(1, 0)), defaultHosts, false)
		defer c.close()
		So(c.awaitServing(), ShouldBeTrue)
		for _, name := range slices.Sorted(maps.Keys(floods)) {
			f := floods[name]
			for _, h := range c.hosts {
				if h.service == "one" {
					h.flood.Store(f) // On all, so that calls cannot avoid it.
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), floodTime)
			var callers sync.WaitGroup
			for _, h := range c.hosts[:2] {
				for i := range floodCallers {
					callers.Go(func() { h.callFlood(ctx, i%2 == 0) })
				}
			}
			served, lost := 0, 0
			for ctx.Err() == nil {
				for _, h := range c.hosts[:2] {
					l := &client{host: h, unchecked: true}
					switch call := l.call("two/0/0", "two", 0); {
					case call.isServed():
						served++
					case call.err != nil:
						lost++
					}
					l.close()
				}
			}
			cancel()
			for _, h := range c.hosts {
				h.flood.Store(nil)
			}
			callers.Wait()
			t.Logf("%s: %d KB written, %d other calls served, %d lost, peak memory %d MB and %d MB", name, f.bytes.Load()>>10, served, lost, c.hosts[0].peakMemoryMB(), c.hosts[1].peakMemoryMB())
			So(f.bytes.Load(), ShouldBeGreaterThan, 0)
			So(served, ShouldBeGreaterThan, 0)
			So(lost, ShouldEqual, 0)
			for _, h := range c.hosts {
				So(h.peakMemoryMB(), ShouldBeBetween, 0, memoryMB)
			}
		}
		So(c.fail("end"), ShouldResemble, []string{"end"})
		So(c.awaitServing(), ShouldBeTrue)
	})
}
