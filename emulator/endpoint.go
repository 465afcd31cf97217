// Package emulator runs sample endpoints, and whole meshes in one process, over
// real loopback sockets. The dev command, the load tool and tests use it.
package emulator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Behavior is how a sample endpoint executes calls and which faults it injects.
// The ratios are fractions of the calls, 0 to 1.
type Behavior struct {
	// ServiceTime is the mean service time.
	ServiceTime time.Duration
	// PathTimes replaces ServiceTime for paths that begin with the key. The longest
	// matching prefix decides.
	PathTimes map[string]time.Duration
	// ServiceTimeSpread is the fraction by which service times vary around their
	// mean, 0 to 1.
	ServiceTimeSpread float64
	// FailRatio of the calls are executed and answered with status 500.
	FailRatio float64
	// ShedRatio of the calls are shed, with outcome not_executed.
	ShedRatio float64
	// HangRatio of the calls are executed and never answered.
	HangRatio float64
	// TruncateRatio of the calls are executed and get a truncated response.
	TruncateRatio float64
	// WrongCallIDRatio of the calls are executed and get a response with the ID of
	// another call.
	WrongCallIDRatio float64
	// CrashRatio of the calls are executed, and the connection is closed without a
	// response.
	CrashRatio float64
	// ReportedLoad replaces the actual load in announcements when it is positive.
	ReportedLoad float64
	// Nested are the nested calls that the endpoint makes during each call.
	Nested []NestedCall
}

// serviceTimeOf returns the mean service time of a path.
func (b Behavior) serviceTimeOf(path string) time.Duration {
	serviceTime, longest := b.ServiceTime, 0
	for prefix, d := range b.PathTimes {
		if len(prefix) > longest && strings.HasPrefix(path, prefix) {
			serviceTime, longest = d, len(prefix)
		}
	}
	return serviceTime
}

// NestedCall is a call that an endpoint makes while it executes a call.
type NestedCall struct {
	Path  string
	Token string
}

// EndpointConfig describes a sample endpoint.
type EndpointConfig struct {
	ID      mesh.EndpointID
	Service mesh.ServiceName
	// Slots is the maximum number of calls that are executed at the same time.
	Slots       int
	Connections int
	ColdStart   time.Duration
	// AnnounceAddress is the address of the node's announcement API.
	AnnounceAddress string
	// EntryAddress is the address to which the endpoint sends nested calls.
	EntryAddress string
	Record       *Record
	Seed         uint64
}

// Endpoint is a sample worker: an HTTP server with a fixed number of slots that
// announces itself to the node of its host.
type Endpoint struct {
	cfg EndpointConfig
	// instance identifies the process in announcements.
	instance  string
	behavior  atomic.Pointer[Behavior]
	slots     chan struct{}
	server    *http.Server
	listener  net.Listener
	client    *http.Client
	running   atomic.Int64
	overruns  atomic.Int64
	cancel    context.CancelFunc
	renewLoop sync.WaitGroup

	randMu sync.Mutex
	random *rand.Rand
}

// StartEndpoint starts an endpoint on a free loopback port and announces it.
func StartEndpoint(cfg EndpointConfig, behavior Behavior) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "emulator: listen for endpoint")
	}
	e := &Endpoint{
		cfg:      cfg,
		instance: uuid.NewString(),
		slots:    make(chan struct{}, cfg.Slots),
		listener: listener,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Connections}},
		random:   rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.ID)))),
	}
	e.behavior.Store(&behavior)
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute,
		// Injected crashes would fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = e.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	if err := e.announce(ctx); err != nil {
		e.Kill()
		return nil, err
	}
	e.renewLoop.Add(1)
	go e.renewPeriodically(ctx)
	return e, nil
}

// Address returns the address that the endpoint serves on.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// ID returns the endpoint's ID.
func (e *Endpoint) ID() mesh.EndpointID { return e.cfg.ID }

// SetBehavior replaces the behavior for calls that arrive after it. It is safe for
// concurrent use.
func (e *Endpoint) SetBehavior(b Behavior) { e.behavior.Store(&b) }

// Overruns returns how often a call arrived while all slots were in use.
func (e *Endpoint) Overruns() int64 { return e.overruns.Load() }

// Running returns the number of calls in execution.
func (e *Endpoint) Running() int64 { return e.running.Load() }

// Kill stops the endpoint immediately and does not inform its node.
func (e *Endpoint) Kill() {
	e.cancel()
	_ = e.server.Close()
	e.renewLoop.Wait()
}

// Drain asks the node to send the endpoint no new calls.
func (e *Endpoint) Drain(ctx context.Context) error {
	return e.request(ctx, http.MethodPost, "/v1/endpoints/"+string(e.cfg.ID)+"/drain", nil)
}

// Deregister removes the endpoint from the node and stops it, without draining it.
func (e *Endpoint) Deregister(ctx context.Context) error {
	err := e.request(ctx, http.MethodDelete, "/v1/endpoints/"+string(e.cfg.ID), nil)
	e.Kill()
	return err
}

func (e *Endpoint) randomFraction() float64 {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return e.random.Float64()
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	b := *e.behavior.Load()
	id := mesh.CallID(r.Header.Get(mesh.HeaderCall))
	w.Header().Set(mesh.HeaderCall, string(id))
	if e.randomFraction() < b.ShedRatio {
		w.Header().Set(mesh.HeaderOutcome, string(mesh.OutcomeNotExecuted))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		e.overruns.Add(1)
		e.slots <- struct{}{}
	}
	defer func() { <-e.slots }()
	e.running.Add(1)
	defer e.running.Add(-1)
	e.execute(w, r, b, id)
}

func (e *Endpoint) execute(w http.ResponseWriter, r *http.Request, b Behavior, id mesh.CallID) {
	depth, _ := strconv.Atoi(r.Header.Get(mesh.HeaderDepth))
	execution := &Execution{
		Call: id, Root: mesh.CallID(r.Header.Get(mesh.HeaderRoot)), Key: r.Header.Get(mesh.HeaderIdempotencyKey),
		Endpoint: e.cfg.ID, Customer: mesh.CustomerID(r.Header.Get(mesh.HeaderCustomer)), Depth: depth, Start: time.Now(),
	}
	bodyHash := sha256.New()
	if _, err := io.Copy(bodyHash, r.Body); err != nil {
		return
	}
	if e.cfg.Record != nil {
		e.cfg.Record.add(execution)
	}
	if !e.waitServiceTime(r.Context(), b.serviceTimeOf(r.URL.Path), b.ServiceTimeSpread) || !e.makeNestedCalls(r, b) {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	e.respond(w, r, b, bodyHash.Sum(nil))
}

// waitServiceTime waits for a random service time around the mean. It reports false
// when the call was cancelled.
func (e *Endpoint) waitServiceTime(ctx context.Context, mean time.Duration, spread float64) bool {
	serviceTime := time.Duration(float64(mean) * (1 + spread*(2*e.randomFraction()-1)))
	if serviceTime <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) makeNestedCalls(r *http.Request, b Behavior) bool {
	for _, call := range b.Nested {
		req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+e.cfg.EntryAddress+call.Path, nil)
		if err != nil {
			return false
		}
		req.Header.Set(mesh.HeaderParent, r.Header.Get(mesh.HeaderCall))
		req.Header.Set("Authorization", "Bearer "+call.Token)
		resp, err := e.client.Do(req)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// respond sends a response or injects a fault. The response names the call and the
// hash of the request body, so that the caller can check that it is complete and
// belongs to its call.
func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, b Behavior, bodyHash []byte) {
	draw := e.randomFraction()
	faults := []struct {
		ratio  float64
		inject func()
	}{
		{b.FailRatio, func() { w.WriteHeader(http.StatusInternalServerError) }},
		{b.HangRatio, func() { <-r.Context().Done() }},
		{b.CrashRatio, func() { panic(http.ErrAbortHandler) }},
		{b.TruncateRatio, func() {
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 1000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{b.WrongCallIDRatio, func() {
			w.Header().Set(mesh.HeaderCall, "another-call")
			_, _ = io.WriteString(w, "response of another call")
		}},
	}
	for _, f := range faults {
		if draw < f.ratio {
			f.inject()
			return
		}
		draw -= f.ratio
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ResponseBody{
		Endpoint: e.cfg.ID, Path: r.URL.RequestURI(), Echo: r.Header.Get(HeaderEcho), BodySHA256: hex.EncodeToString(bodyHash),
	})
}

// HeaderEcho is a request header whose value a sample endpoint returns.
const HeaderEcho = "X-Echo"

// ResponseBody is the body of a successful response of a sample endpoint.
type ResponseBody struct {
	Endpoint   mesh.EndpointID `json:"endpoint"`
	Path       string          `json:"path"`
	Echo       string          `json:"echo"`
	BodySHA256 string          `json:"bodySha256"`
}

const renewInterval = time.Second

func (e *Endpoint) renewPeriodically(ctx context.Context) {
	defer e.renewLoop.Done()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = e.announce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Announcement is the body of the request with which an endpoint announces itself
// and renews its registration.
type Announcement struct {
	Service     mesh.ServiceName `json:"service"`
	Address     string           `json:"address"`
	Slots       int              `json:"slots"`
	Connections int              `json:"connections"`
	ColdStartMs int              `json:"coldStartMs"`
	Instance    string           `json:"instance"`
	Load        float64          `json:"load"`
}

func (e *Endpoint) announce(ctx context.Context) error {
	load := float64(e.running.Load()) / float64(e.cfg.Slots)
	if reportedLoad := e.behavior.Load().ReportedLoad; reportedLoad > 0 {
		load = reportedLoad
	}
	return e.request(ctx, http.MethodPut, "/v1/endpoints/"+string(e.cfg.ID), Announcement{
		Service: e.cfg.Service, Address: e.Address(), Slots: e.cfg.Slots, Connections: e.cfg.Connections,
		ColdStartMs: int(e.cfg.ColdStart.Milliseconds()), Instance: e.instance, Load: load,
	})
}

func (e *Endpoint) request(ctx context.Context, method, path string, body any) error {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return errors.Wrap(err, "emulator: encode announcement")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.cfg.AnnounceAddress+path, &encoded)
	if err != nil {
		return errors.Wrap(err, "emulator: request to the endpoint API of the node")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "emulator: request to the endpoint API of the node")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		responseBody, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return errors.Newf("emulator: node rejected the request: %s: %s", resp.Status, fmt.Sprintf("%.200s", responseBody))
	}
	return nil
}
