package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["noread"] = noRead }

// Figures of "noread".
const (
	silentClients     = 1400
	requestsOfEach    = 60
	silentAnswerBytes = 60_000
	silentMemoryMB    = 184
)

// noRead plays a crowd of clients that send safe requests and read no answer. It is no case of
// the review, because no page of the users names such clients; KNOWN-RED.txt lists it.
func noRead(binary, out string, trouble bool) int {
	d := newDeployment(binary, out)
	defer d.close()
	a, b, c := d.addHost("z1", "one"), d.addHost("z2", "two"), d.addHost("z3", "two")
	d.store.write("op/config", configuration(7, []route{{name: "view", kind: "safe", service: "two", timeoutMs: 4000, aimMs: 2000, attempts: 2}}))
	for _, h := range d.hosts {
		h.memoryMB = silentMemoryMB
		h.start()
	}
	d.startWorker(a, "i-a")
	for i, h := range []*host{b, c} {
		w := d.startWorker(h, fmt.Sprint("i-", i))
		w.respond = func(c net.Conn, r *http.Request, _ []byte, _ func()) {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, successHead(r.Header.Get(wire.RequestID))+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", silentAnswerBytes, strings.Repeat("v", silentAnswerBytes)))
		}
	}
	if !d.awaitReady(15 * time.Second) {
		unable("hosts are not ready")
	}
	time.Sleep(time.Second)
	clients := silentClients
	if !trouble {
		clients = 0
	}
	var open []net.Conn
	for range clients {
		c, err := net.DialTimeout("tcp", a.calls, time.Second)
		check(err)
		open = append(open, c)
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // Only what the host holds is of interest.
		go func() {
			for range requestsOfEach {
				_, _ = c.Write(request{id: newID(), method: http.MethodGet, path: "/view/1", deadlineMs: 4000}.bytes()) // The host may close it.
			}
		}()
		time.Sleep(time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	kb := peakKB(a.process.Process.Pid)
	for _, c := range open {
		_ = c.Close() // The host may have closed it.
	}
	d.record.add("peak memory of %s: %d kB, the machine has %d MB", a.name, kb, silentMemoryMB)
	fmt.Println("peak memory in kB:", kb)
	if kb > silentMemoryMB<<10 {
		return exitBroken
	}
	return exitHeld
}

// peakKB returns the peak memory of a process in kB.
func peakKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	check(err)
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb := 0
	_, err = fmt.Sscan(rest, &kb)
	check(err)
	return kb
}
