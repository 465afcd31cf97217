package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	storestandin "geraniumnotch.example/geraniumnotch/kvstore/standin"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// daemonMemoryMB is the memory that a process of geraniumnotchd may use, and
	// daemonDescriptors the number of files that the test lets it open. Both are also the
	// bounds that the test checks.
	daemonMemoryMB, daemonDescriptors = 256, 512
	// devMemoryMB is the bound for geraniumnotch dev, whose clients call one of its nodes:
	// the memory of that node, and of one other.
	devMemoryMB = 2 * daemonMemoryMB
	// daemonCrowdSize clients have heads that take more than the memory of a process,
	// daemonConnections clients open more connections than it has descriptors.
	daemonCrowdSize, daemonConnections = 300, 600
	// daemonFields is the number of short fields that fit into the longest head.
	daemonFields = 12_000
	// daemonPathBytes is the length of a path that fits into it.
	daemonPathBytes = 60_000
	// firstDaemonPort is the first port of the processes, which accept calls only from the
	// address that they listen on.
	firstDaemonPort = 10900
	// daemonSlots is the number of calls that an endpoint executes at a time.
	daemonSlots = 8
)

// daemonNode is a process of geraniumnotchd.
type daemonNode struct {
	addresses map[string]string
	settings  string
	binary    string
	process   *exec.Cmd
	exited    chan struct{}
	log       bytes.Buffer
}

// daemonMesh is two processes of geraniumnotchd with an endpoint each, and a stand-in of the
// platform's service.
type daemonMesh struct {
	nodes     []*daemonNode
	endpoints []*http.Server
	store     *httptest.Server
	done      chan struct{}
}

// buildProgram builds a program of this repository into the folder.
func buildProgram(dir, name string) string {
	path := filepath.Join(dir, name)
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/"+name).CombinedOutput(); err != nil {
		panic(string(out))
	}
	return path
}

var daemonListeners = []string{"peer", "call", "entry", "operator", "endpoints"}

// startDaemons starts the mesh and waits until both nodes serve.
func startDaemons(dir, binary string) *daemonMesh {
	store := memory.New()
	m := &daemonMesh{store: httptest.NewServer(storestandin.New(store, hclog.NewNullLogger())), done: make(chan struct{})}
	deployment, err := emulator.NamedDeployment("laronda")
	if err != nil {
		panic(err)
	}
	_, err = authority.New(store, authority.Options{}).Propose(context.Background(), authority.Proposal{
		ChangeID: "change-1", Author: "soak", Edits: lists.Diff(lists.Lists{}, deployment.SampleLists()),
	})
	if err != nil {
		panic(err)
	}
	for i := range 2 {
		n := &daemonNode{addresses: map[string]string{}, binary: binary, settings: filepath.Join(dir, fmt.Sprintf("daemon-%d.ini", i))}
		text := fmt.Sprintf("[node]\nhost = daemon-%d\nfailure-domain = qx-%d\n[store]\naddress = %s\n[listen]\n", i, i+1, m.store.Listener.Addr())
		for offset, name := range daemonListeners {
			n.addresses[name] = fmt.Sprintf("127.0.0.1:%d", firstDaemonPort+portsPerHost*i+offset)
			text += name + " = " + n.addresses[name] + "\n"
		}
		if i > 0 {
			text += "[peers]\nseeds = " + m.nodes[0].addresses["peer"] + "\n"
		}
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
		n.start()
		m.nodes = append(m.nodes, n)
		m.startEndpoint(n, []mesh.ServiceName{deployment.LookupService(), deployment.PhotosService()}[i])
	}
	return m
}

func (n *daemonNode) start() {
	n.process = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s %s", daemonDescriptors, n.binary, n.settings))
	n.process.Stderr = &n.log
	n.exited = make(chan struct{})
	if err := n.process.Start(); err != nil {
		panic(err)
	}
	process, exited := n.process, n.exited
	go func() {
		_ = process.Wait() // The exit status is read from ProcessState.
		close(exited)
	}()
}

// startEndpoint starts an endpoint at the node. A path such as /lookup/300/20000 sets the
// service time in milliseconds and the length of the response.
func (m *daemonMesh) startEndpoint(n *daemonNode, service mesh.ServiceName) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // A call whose body is truncated is not executed.
		}
		var prefix string
		serviceTime, bytes := 0, 0
		_, _ = fmt.Sscanf(strings.ReplaceAll(r.URL.Path, "/", " "), "%s %d %d", &prefix, &serviceTime, &bytes) // Other calls keep the defaults.
		time.Sleep(time.Duration(serviceTime) * time.Millisecond)
		w.Header().Set(mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
		w.Header().Set("Content-Length", strconv.Itoa(bytes))
		_, _ = io.WriteString(w, strings.Repeat("x", bytes)) // The node may have closed the connection.
	})}
	m.endpoints = append(m.endpoints, server)
	go func() { _ = server.Serve(listener) }() // Ends when close closes the server.
	announcement, err := json.Marshal(emulator.Announcement{Service: service, Address: listener.Addr().String(), Slots: daemonSlots, Connections: 100})
	if err != nil {
		panic(err)
	}
	go func() {
		// A connection of its own for each announcement, because the process may restart.
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
		for !isClosed(m.done) {
			request, err := http.NewRequest(http.MethodPut, "http://"+n.addresses["endpoints"]+"/v1/endpoints/"+string(service)+"-1", bytes.NewReader(announcement))
			if err != nil {
				panic(err)
			}
			request.Header.Set("Content-Type", "application/json")
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

func (m *daemonMesh) close() {
	close(m.done)
	for _, n := range m.nodes {
		_ = n.process.Process.Kill() // It may have ended.
		<-n.exited
	}
	for _, e := range m.endpoints {
		_ = e.Close()
	}
	m.store.CloseClientConnections()
	m.store.Close()
}

// daemonHead returns the head of a request of a customer without the blank line.
func daemonHead(request string) string {
	return request + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + emulator.Token(emulator.CustomerPrimary) + "\r\n"
}

// serves makes an ordinary call until one is served, and reports whether one was within
// recoveryTimeout.
func (n *daemonNode) serves() bool {
	return servesLookup(n.addresses["entry"], daemonHead("GET /lookup/0/10"))
}

func servesLookup(address, head string) bool {
	for began := time.Now(); time.Since(began) < recoveryTimeout; time.Sleep(20 * time.Millisecond) {
		if statusOf(address, head) == http.StatusOK {
			return true
		}
	}
	return false
}

// statusOf sends a request without a body and returns the status of the response, 0 for none.
func statusOf(address, head string) int {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }() // The response has been read.
	_ = conn.SetDeadline(time.Now().Add(clientDeadline))
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// daemonCrowd is what each client of a crowd sends before it stops and keeps its connection
// open.
type daemonCrowd struct {
	clients  int
	listener string
	send     func(w io.Writer)
	// stops is set if the node gets a stop signal while the crowd is there.
	stops bool
}

func daemonHalfHead() func(w io.Writer) {
	text := daemonHead("GET /lookup/0/10") + shortFields(daemonFields)
	return func(w io.Writer) { writeAll(w, text, 4<<10) }
}

func daemonRequests(count int, head string) func(w io.Writer) {
	return func(w io.Writer) {
		for range count {
			writeAll(w, head+"\r\n", 64<<10)
		}
	}
}

func daemonBody(head string, bytes int) func(w io.Writer) {
	body := sync.OnceValue(func() string { return strings.Repeat("x", bytes) })
	return func(w io.Writer) {
		writeAll(w, head, 64<<10)
		writeAll(w, body(), 64<<10)
	}
}

const mebibyte = 1 << 20

var daemonCrowds = map[string]daemonCrowd{
	"whole bodies that stop short of their end": {clients: daemonCrowdSize, listener: "entry", send: daemonBody(lengthHead(daemonHead("POST /count"), 64<<10), 64<<10-8)},
	"bodies of keyed calls": {clients: daemonCrowdSize, listener: "entry", send: daemonBody(lengthHead(daemonHead("POST /order")+
		"Idempotency-Key: k\r\n"+mesh.HeaderIssuedAt+": 1\r\n", mebibyte), mebibyte-8)},
	"bodies announced over the limit": {clients: daemonCrowdSize / 3, listener: "entry", send: daemonBody(lengthHead(daemonHead("POST /photo"), 1<<30), 20*mebibyte)},
	"chunks without end": {clients: daemonCrowdSize / 3, listener: "entry", send: func(w io.Writer) {
		writeAll(w, chunkedHead(daemonHead("POST /photo"))+chunks(20*mebibyte, 64<<10, ""), 64<<10)
	}},
	"very small chunks": {clients: daemonCrowdSize / 3, listener: "entry", send: func(w io.Writer) {
		writeAll(w, chunkedHead(daemonHead("POST /photo"))+chunks(mebibyte, 16, ""), 64<<10)
	}},
	"half heads of short fields":                    {clients: daemonCrowdSize, listener: "entry", send: daemonHalfHead()},
	"heads of short fields while an endpoint hangs": {clients: daemonCrowdSize, listener: "entry", send: daemonRequests(1, daemonHead("GET /lookup/1900/10")+shortFields(daemonFields))},
	"long paths":                  {clients: 40, listener: "entry", send: daemonRequests(120, daemonHead("GET /"+strings.Repeat("p", daemonPathBytes)))},
	"long methods":                {clients: 40, listener: "entry", send: daemonRequests(120, daemonHead(strings.Repeat("M", daemonPathBytes)+" /lookup/0/0"))},
	"responses that are not read": {clients: daemonCrowdSize / 3, listener: "entry", send: daemonRequests(1, daemonHead("GET /lookup/0/40000000"))},
	"pipelined requests whose responses are not read": {clients: daemonCrowdSize, listener: "entry", send: daemonRequests(pipelinedRequests, daemonHead("GET /lookup/0/60000"))},
	"connections that are idle after a request":       {clients: daemonConnections, listener: "entry", send: daemonRequests(1, daemonHead("GET /lookup/0/10"))},
	"idle connections":                                {clients: daemonConnections, listener: "entry", send: func(io.Writer) {}},
	"half heads for the listener of calls":            {clients: daemonCrowdSize, listener: "call", send: daemonHalfHead()},
	"half heads for the listener of operators":        {clients: daemonCrowdSize, listener: "operator", send: daemonHalfHead()},
	"half heads for the listener of endpoints":        {clients: daemonCrowdSize, listener: "endpoints", send: daemonHalfHead()},
	"half heads for the listener of other nodes":      {clients: daemonCrowdSize, listener: "peer", send: daemonHalfHead()},
	"long messages for the listener of other nodes":   {clients: daemonCrowdSize / 3, listener: "peer", send: func(w io.Writer) { sendFrame(w, nil) }},
	"idle connections to the listener of calls":       {clients: daemonConnections, listener: "call", send: func(io.Writer) {}},
	"idle connections to the listener of operators":   {clients: daemonConnections, listener: "operator", send: func(io.Writer) {}},
	"idle connections to the listener of endpoints":   {clients: daemonConnections, listener: "endpoints", send: func(io.Writer) {}},
	"idle connections to the listener of other nodes": {clients: daemonConnections, listener: "peer", send: func(io.Writer) {}},
	"proposals for the operator that stop short of their end": {clients: daemonCrowdSize, listener: "operator", send: daemonBody(
		lengthHead(daemonHead("POST /v1/changes")+"Content-Type: application/json\r\n", 8*mebibyte), 8*mebibyte-8)},
	"metrics that are not read":          {clients: daemonCrowdSize, listener: "operator", send: daemonRequests(pipelinedRequests, daemonHead("GET /metrics"))},
	"unread responses in a planned stop": {clients: daemonCrowdSize / 3, listener: "entry", stops: true, send: daemonRequests(1, daemonHead("GET /lookup/0/40000000"))},
	"half heads in a planned stop":       {clients: daemonCrowdSize, listener: "entry", stops: true, send: daemonHalfHead()},
}

// stopPlanned sends the process a stop signal and reports whether it ended in order, and the
// peak of its memory until then.
func (n *daemonNode) stopPlanned() (ended bool, peakMB int) {
	_ = n.process.Process.Signal(syscall.SIGTERM) // The exit of the process is observed through exited.
	for began := time.Now(); time.Since(began) < recoveryTimeout; {
		peakMB = max(peakMB, peakMemoryOf(n.process.Process.Pid))
		select {
		case <-n.exited:
			return n.process.ProcessState.ExitCode() == 0, peakMB
		case <-time.After(20 * time.Millisecond):
		}
	}
	return false, peakMB
}

// Guards against clients that nobody controls, as TestHostsOutliveCrowds, at geraniumnotchd.
func TestDaemonsOutliveCrowds(t *testing.T) {
	if !*crowds {
		t.Skip("run with -soak.crowds, apart from other load")
	}
	binary := buildProgram(t.TempDir(), "geraniumnotchd")
	for name, k := range daemonCrowds {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			Convey("a crowd with "+name, t, func() {
				m := startDaemons(t.TempDir(), binary)
				defer m.close()
				for _, n := range m.nodes {
					So(n.serves(), ShouldBeTrue)
				}
				n := m.nodes[0]
				left := make(chan struct{})
				var members, sending sync.WaitGroup
				sending.Add(k.clients)
				for range k.clients {
					members.Go(func() { joinCrowd(n.addresses[k.listener], k.send, left, sending.Done) })
				}
				sending.Wait()
				ended, stoppedMB := true, 0
				if k.stops {
					ended, stoppedMB = n.stopPlanned()
					if ended {
						n.start()
					}
				}
				awaitAnswer(n.addresses[k.listener])
				served := n.serves()
				descriptors := descriptorsOf(n.process.Process.Pid)
				close(left)
				members.Wait()
				for _, other := range m.nodes {
					peakMB := peakMemoryOf(other.process.Process.Pid)
					t.Logf("%s: peak memory %d MB", name, peakMB)
					So(peakMB, ShouldBeBetween, 0, daemonMemoryMB)
				}
				t.Logf("%s: %d descriptors, peak memory %d MB in a stop", name, descriptors, stoppedMB)
				So(stoppedMB, ShouldBeLessThan, daemonMemoryMB)
				So(descriptors, ShouldBeBetween, 0, daemonDescriptors)
				So(ended, ShouldBeTrue)
				So(served, ShouldBeTrue)
				So(n.serves(), ShouldBeTrue)
			})
		})
	}
}

// awaitAnswer waits until the listener has accepted or refused the connections before its own.
func awaitAnswer(address string) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return // The queue of new connections is full.
	}
	defer func() { _ = conn.Close() }() // It is used for one request.
	_ = conn.SetDeadline(time.Now().Add(clientDeadline))
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n") // The read returns the error.
	_, _ = conn.Read(make([]byte, 1))                                        // A closed connection is an answer, too.
}

// joinCrowd sends what a client of a crowd sends and keeps the connection open until left.
func joinCrowd(address string, send func(w io.Writer), left <-chan struct{}, sent func()) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		sent()
		return // The node accepts no further connection.
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	send(conn)
	sent()
	<-left
	_ = conn.Close() // The node may have closed it.
}

// Guards against sample endpoints whose memory grows with what clients send: all nodes and
// endpoints of geraniumnotch dev are one process.
func TestDevMeshOutlivesCrowds(t *testing.T) {
	if !*crowds {
		t.Skip("run with -soak.crowds, apart from other load")
	}
	binary := buildProgram(t.TempDir(), "geraniumnotch")
	Convey("a crowd with long bodies", t, func() {
		process := exec.Command(binary, "dev")
		output, err := process.StdoutPipe()
		So(err, ShouldBeNil)
		So(process.Start(), ShouldBeNil)
		defer func() {
			_ = process.Process.Kill() // It may have ended.
			_ = process.Wait()         // It was killed.
		}()
		entry := ""
		lines := bufio.NewScanner(output)
		for entry == "" && lines.Scan() {
			if fields := strings.Fields(lines.Text()); len(fields) > 3 && strings.HasPrefix(fields[0], "host-") {
				entry = fields[3]
			}
		}
		So(entry, ShouldNotBeEmpty)
		go func() { _, _ = io.Copy(io.Discard, output) }() // Ends with the process.
		head := func(request, token string) string {
			return request + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + token + "\r\n"
		}
		lookup := head("GET /routes/1", "laronda-example-drivers")
		So(servesLookup(entry, lookup), ShouldBeTrue)
		left := make(chan struct{})
		var members, sending sync.WaitGroup
		send := daemonBody(lengthHead(head("POST /routes/1", "laronda-example-drivers"), 1<<30), 20*mebibyte)
		for range daemonCrowdSize / 3 {
			sending.Add(1)
			members.Go(func() { joinCrowd(entry, send, left, sending.Done) })
		}
		sending.Wait()
		served := servesLookup(entry, lookup)
		peakMB := peakMemoryOf(process.Process.Pid)
		close(left)
		members.Wait()
		t.Logf("peak memory %d MB", peakMB)
		So(peakMB, ShouldBeBetween, 0, devMemoryMB)
		So(served, ShouldBeTrue)
	})
}
