package peers_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// runnerFunc executes calls of peers by a function.
type runnerFunc func(ctx context.Context, c *call.Call) call.Result

func (r runnerFunc) Run(ctx context.Context, c *call.Call) call.Result { return r(ctx, c) }

// host is a directory with an HTTP server for its links.
type host struct {
	*peers.Directory
	record       peers.Record
	link         *hostlink.Link
	server       *http.Server
	stop         context.CancelFunc
	ended        chan struct{}
	version      atomic.Uint64
	running      atomic.Int64
	planVersions chan uint64
	plans        chan routeplan.Delta
	// workspaces are those in deltas to the version 4 of the host's plan, nil for none.
	workspaces atomic.Pointer[routeplan.WorkspaceDelta]
	// paused is set while the host sends no status reports.
	paused atomic.Bool
	// departed is what the host reports of endpoints that have left, nil for none.
	departed atomic.Pointer[departures.List]
	// learned are the departures of its own endpoints that peers have told the host.
	learned chan departures.List
	// confirmed are its own endpoints that peers have told the host.
	confirmed chan departures.Incarnation
}

// testNetwork is the in-memory network of a test. Its tests run in a bubble of
// testing/synctest, so that no deadline depends on the load of the machine.
type testNetwork struct {
	*faultnet.Network
	hosts int
	// linkMbps is the bandwidth at which hosts order long responses, 0 for none.
	linkMbps float64
}

// inBubble runs a specification on a new network in a synctest bubble.
func inBubble(t *testing.T, name string, specification func(c C, n *testNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func(c C) { specification(c, &testNetwork{Network: faultnet.New()}) })
	})
}

// now is the clock of the bubble, which boottime.Now does not read.
func now() boottime.Time { return time.Duration(time.Now().UnixNano()) }

func (n *testNetwork) newHost(name string, incarnation int64, run runnerFunc) *host {
	n.hosts++
	address := fmt.Sprintf("10.0.0.%d:1", n.hosts)
	l, err := n.Listen(address)
	if err != nil {
		panic(err)
	}
	h := &host{
		record:       peers.Record{Host: mesh.HostID(name), Address: address, FailureDomain: "d", Incarnation: incarnation, LinkMbps: 8},
		planVersions: make(chan uint64, 1000), plans: make(chan routeplan.Delta, 10), learned: make(chan departures.List, 100), confirmed: make(chan departures.Incarnation, 100), ended: make(chan struct{}),
	}
	h.link = hostlink.New(hostlink.Config{Mbps: n.linkMbps, Clock: now, Logger: hclog.NewNullLogger()})
	h.link.SetEnabled(n.linkMbps > 0)
	h.Directory = peers.New(peers.Config{
		HostLink: h.link,
		Self:     h.record, Clock: now, Dial: transport.DialFunc(n.Dialer(address)), Local: run,
		LocalStatus: func() peers.Status {
			for h.paused.Load() {
				time.Sleep(time.Millisecond)
			}
			s := peers.Status{PlanVersion: h.version.Load(), Endpoint: &peers.EndpointStatus{ID: "e", Service: "s", Slots: 3, Running: int(h.running.Load())}}
			if departed := h.departed.Load(); departed != nil {
				s.Departed = *departed
			}
			return s
		},
		OnReceiverDeparted: func(known departures.List, _ mesh.HostID) { h.learned <- known },
		OnReceiverEndpoint: func(e departures.Incarnation, _ mesh.HostID) { h.confirmed <- e },
		PlanDelta: func(have uint64) (routeplan.Delta, bool) {
			d := routeplan.Delta{Base: have, Version: h.version.Load()}
			if have == 4 {
				d.Workspaces = h.workspaces.Load()
			}
			return d, true
		},
		OnPlan: func(d routeplan.Delta, _ mesh.HostID) { h.plans <- d },
		OnPlanReport: func(r plansync.Report) {
			select {
			case h.planVersions <- r.Version:
			default:
			}
		},
	})
	mux := http.NewServeMux()
	mux.Handle(transport.Path, h.Manager())
	h.server = &http.Server{Handler: mux}
	go func() { _ = h.server.Serve(l) }() // Ends in close.
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go func() {
		defer close(h.ended)
		h.Run(ctx)
	}()
	return h
}

// pauseReports stops the status reports until the host is closed.
func (h *host) pauseReports() { h.paused.Store(true) }

func (h *host) close() {
	h.stop()
	h.paused.Store(false)
	<-h.ended
	_ = h.server.Close()
}

// waitFor polls until the condition holds, and panics after 10 s.
func waitFor(condition func() bool) {
	for end := time.Now().Add(10 * time.Second); !condition(); {
		if time.Now().After(end) {
			panic("condition does not hold after 10 s")
		}
		time.Sleep(time.Millisecond)
	}
}

func (h *host) waitForPeers(n int) { waitFor(func() bool { return len(h.ByService("s")) == n }) }

func echo(_ context.Context, c *call.Call) call.Result {
	var body []byte
	if c.Body != nil {
		var err error
		if body, err = io.ReadAll(c.Body); err != nil {
			return call.Result{Outcome: call.Broken, Reason: call.ReasonBodyIncomplete, Sent: true}
		}
	}
	response := &call.Response{Status: 200, Header: http.Header{"Id": {c.ID}}, BodyBytes: int64(len(body))}
	if len(body) > 1000 {
		response.Stream = io.NopCloser(bytes.NewReader(body))
	} else {
		response.Body = body
	}
	return call.Result{Outcome: call.Answered, Sent: true, Response: response, Load: call.Load{Running: 2}}
}

func newCall(body []byte) *call.Call {
	c := &call.Call{ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Service: "s", Remaining: 5 * time.Second, TargetRemaining: time.Second}
	if body != nil {
		c.Body, c.BodyBytes = call.BytesBody(body), int64(len(body))
	}
	return c
}

// Guards against status reports that programs of before and after the later fields were
// added cannot exchange.
func TestStatusReportsWithoutLaterFields(t *testing.T) {
	type earlierEndpoint struct {
		ID mesh.EndpointID `cbor:"1,keyasint"`
	}
	type earlierStatus struct {
		PlanVersion uint64           `cbor:"2,keyasint,omitempty"`
		Endpoint    *earlierEndpoint `cbor:"4,keyasint,omitempty"`
		PlanRead    plansync.Stamp   `cbor:"5,keyasint"`
	}
	read := plansync.Stamp{Reader: "a", Number: 3, Recoveries: 1}
	Convey("a report without them has an epoch, a read age and a time of 0", t, func() {
		frame, err := cbor.Marshal(earlierStatus{PlanVersion: 7, PlanRead: read})
		So(err, ShouldBeNil)
		var s peers.Status
		So(transport.Message{Body: frame}.Decode(&s), ShouldBeNil)
		So(s, ShouldResemble, peers.Status{PlanVersion: 7, PlanRead: read})
	})
	Convey("a report with them keeps its other fields for programs that do not know them", t, func() {
		frame, err := cbor.Marshal(peers.Status{
			PlanVersion: 7, PlanRead: read, StoreEpoch: 2, PlanReadAge: time.Second, SentAt: time.Minute,
			Endpoint:        &peers.EndpointStatus{ID: "e", CallsPerSecond: 6.5, StartedAtMs: 5},
			LimitedEndpoint: &peers.LimitedEndpoint{ID: "f", CallsPerSecond: 1.5},
			Departed:        departures.List{{ID: "g", StartedAtMs: 6}}, ReceiverDeparted: departures.List{{ID: "h", StartedAtMs: 7}},
		})
		So(err, ShouldBeNil)
		var s earlierStatus
		So(transport.Message{Body: frame}.Decode(&s), ShouldBeNil)
		So(s, ShouldResemble, earlierStatus{PlanVersion: 7, PlanRead: read, Endpoint: &earlierEndpoint{ID: "e"}})
	})
}

// Guards against a link on which only the dialing host finds the other one, and
// against bodies that change or block on their way.
func TestCallsBetweenHosts(t *testing.T) {
	inBubble(t, "a host sends calls to a peer whose record it did not know", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, echo)
		defer a.close()
		defer b.close()
		b.AddRecords(a.record)
		a.waitForPeers(1)
		b.waitForPeers(1)
		for _, size := range []int{0, 10, 3000, 20_000, 2_000_000} {
			body := bytes.Repeat([]byte("x"), size)
			r := a.ByService("s")[0].Run(context.Background(), newCall(body))
			So(r.Outcome, ShouldEqual, call.Answered)
			So(r.Load.Running, ShouldEqual, 2)
			got := r.Response.Body
			if r.Response.Stream != nil {
				var err error
				got, err = io.ReadAll(r.Response.Stream)
				So(err, ShouldBeNil)
				r.Response.Close()
			}
			So(bytes.Equal(got, body), ShouldBeTrue)
		}
	})
}

// Guards against a body that is fetched only once its call holds a slot, and against
// one that is fetched although its call has ended.
func TestBodyIsFetchedBeforeTheCallRuns(t *testing.T) {
	inBubble(t, "a host with a link of 8 Mbit/s", func(c C, n *testNetwork) {
		body := bytes.Repeat([]byte("x"), 200_000)
		fetched := make(chan error, 1)
		run := func(ctx context.Context, sent *call.Call) call.Result {
			remote, ok := sent.Body.(call.RemoteBody)
			c.So(ok, ShouldBeTrue)
			c.So(remote.ExpectedFetchTime(), ShouldEqual, 200*time.Millisecond)
			if sent.ID == "2" {
				var cancel context.CancelFunc
				ctx, cancel = context.WithCancel(ctx)
				cancel()
			}
			whole, err := remote.Fetch(ctx)
			fetched <- err
			if err != nil {
				return call.Result{Outcome: call.Rejected, Reason: call.ReasonBodyIncomplete}
			}
			got, err := io.ReadAll(whole)
			c.So(err, ShouldBeNil)
			c.So(bytes.Equal(got, body), ShouldBeTrue)
			_, rewound := whole.Rewind()
			c.So(rewound, ShouldBeTrue)
			c.So(remote.ExpectedFetchTime(), ShouldEqual, 200*time.Millisecond)
			return call.Result{Outcome: call.Answered, Response: &call.Response{Status: 200}}
		}
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, run)
		defer a.close()
		defer b.close()
		b.AddRecords(a.record)
		a.waitForPeers(1)
		Convey("a running call", func() {
			So(a.ByService("s")[0].Run(context.Background(), newCall(body)).Outcome, ShouldEqual, call.Answered)
			So(<-fetched, ShouldBeNil)
		})
		Convey("an ended call", func() {
			ended := newCall(body)
			ended.ID = "2"
			So(a.ByService("s")[0].Run(context.Background(), ended).Outcome, ShouldEqual, call.Rejected)
			So(<-fetched, ShouldNotBeNil)
		})
	})
}

// Guards against a call that is reported as sent, and so not sent to another host,
// although its body was never complete at the first one.
func TestCallWithIncompleteBodyIsNotExecuted(t *testing.T) {
	inBubble(t, "the link closes before or after the body is fetched", func(_ C, n *testNetwork) {
		reached := make(chan struct{}, 2)
		fetch := false
		run := func(ctx context.Context, c *call.Call) call.Result {
			if fetch {
				if _, err := c.Body.(call.RemoteBody).Fetch(ctx); err != nil {
					return call.Result{Outcome: call.Rejected}
				}
			}
			reached <- struct{}{}
			<-ctx.Done()
			return call.Result{Outcome: call.Expired, Sent: true}
		}
		for _, fetched := range []bool{false, true} {
			fetch = fetched
			a, b := n.newHost("a", 1, echo), n.newHost("b", 2, run)
			b.AddRecords(a.record)
			a.waitForPeers(1)
			result := make(chan call.Result, 1)
			go func() {
				result <- a.ByService("s")[0].Run(context.Background(), newCall(bytes.Repeat([]byte("x"), 200_000)))
			}()
			<-reached
			b.close()
			r := <-result
			So(r.Sent, ShouldEqual, fetched)
			So(r.Outcome == call.Rejected, ShouldEqual, !fetched)
			a.close()
		}
	})
}

// Guards against a truncated response that looks complete, and against a wrong
// outcome of calls when their link closes.
func TestInterruptedCalls(t *testing.T) {
	inBubble(t, "two hosts", func(_ C, n *testNetwork) {
		started := make(chan struct{}, 10)
		ended := make(chan struct{}, 10)
		waitForCancel := func(ctx context.Context, _ *call.Call) call.Result {
			started <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
			return call.Result{Outcome: call.Expired, Sent: true}
		}
		Convey("a response body that is truncated at its source", func() {
			failMidBody := func(context.Context, *call.Call) call.Result {
				r, w := io.Pipe()
				go func() {
					_, _ = w.Write(make([]byte, 100_000)) // The reader sees the error that follows.
					_ = w.CloseWithError(errors.New("endpoint truncated the response"))
				}()
				return call.Result{Outcome: call.Answered, Response: &call.Response{Status: 200, BodyBytes: 200_000, Stream: r}}
			}
			a, b := n.newHost("a", 1, echo), n.newHost("b", 2, failMidBody)
			defer a.close()
			defer b.close()
			a.AddRecords(b.record)
			a.waitForPeers(1)
			r := a.ByService("s")[0].Run(context.Background(), newCall(nil))
			_, err := io.ReadAll(r.Response.Stream)
			So(err, ShouldNotBeNil)
			r.Response.Close()
		})
		Convey("the caller cancels the call", func() {
			a, b := n.newHost("a", 1, echo), n.newHost("b", 2, waitForCancel)
			defer a.close()
			defer b.close()
			a.AddRecords(b.record)
			a.waitForPeers(1)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-started
				cancel()
			}()
			So(a.ByService("s")[0].Run(ctx, newCall(nil)).Outcome, ShouldEqual, call.Expired)
			<-ended
		})
		Convey("the node of the caller stops while the call waits at the other host", func() {
			rejectCancelled := func(ctx context.Context, _ *call.Call) call.Result {
				started <- struct{}{}
				<-ctx.Done()
				return call.Result{Outcome: call.Rejected, Reason: call.ReasonCancelled}
			}
			a, b := n.newHost("a", 1, echo), n.newHost("b", 2, rejectCancelled)
			defer a.close()
			defer b.close()
			a.AddRecords(b.record)
			a.waitForPeers(1)
			ctx, cancel := context.WithCancelCause(context.Background())
			go func() {
				<-started
				cancel(call.ErrNodeStopping)
			}()
			r := a.ByService("s")[0].Run(ctx, newCall(nil))
			So(r.Outcome, ShouldEqual, call.Rejected)
			So(r.Sent, ShouldBeFalse)
		})
		Convey("the link closes", func() {
			a, b := n.newHost("a", 1, echo), n.newHost("b", 2, waitForCancel)
			defer a.close()
			defer b.close()
			a.AddRecords(b.record)
			a.waitForPeers(1)
			go func() {
				<-started
				b.Reset()
			}()
			r := a.ByService("s")[0].Run(context.Background(), newCall(nil))
			So(r.Outcome, ShouldEqual, call.Broken)
			So(r.Sent, ShouldBeTrue)
			<-ended
			a.waitForPeers(1)
		})
	})
}

// Guards against dialing the record of a former host at an address, which would
// replace the link to its current host.
func TestAddressReusedByAnotherHost(t *testing.T) {
	inBubble(t, "a later host reuses the address of an earlier one", func(_ C, n *testNetwork) {
		a := n.newHost("a", 1, echo)
		defer a.close()
		b := n.newHost("b", 5, echo)
		defer b.close()
		former := peers.Record{Host: "former", Address: b.record.Address, FailureDomain: "d", Incarnation: 3}
		a.AddRecords(former, b.record)
		a.waitForPeers(1)
		link := a.Manager().Link("b")
		a.AddRecords(former)
		for range 5 {
			// Hosts are dialed at least as often as reports arrive.
			<-a.planVersions
		}
		// ShouldEqual would read the fields of both links to describe a difference.
		So(a.Manager().Link("b") == link, ShouldBeTrue)
		So(a.ByService("s"), ShouldHaveLength, 1)
	})
}

// Guards against calls to an endpoint that has left when its host has restarted and
// reports it again, and against a restarted host that does not learn of it.
func TestDeparturesOutliveARestartOfTheirHost(t *testing.T) {
	inBubble(t, "a host restarts after its endpoint has left", func(_ C, n *testNetwork) {
		a := n.newHost("a", 1, echo)
		defer a.close()
		b := n.newHost("b", 1, echo)
		a.AddRecords(b.record)
		a.waitForPeers(1)
		So(<-b.learned, ShouldBeEmpty)
		p := a.ByService("s")[0]
		So(p.IsLeaving(p.Endpoint()), ShouldBeFalse)
		left := departures.List{{ID: "e", StartedAtMs: 5}}
		b.departed.Store(&left)
		b.ReportNow()
		waitFor(func() bool { return p.IsLeaving(&peers.EndpointStatus{ID: "e", StartedAtMs: 5}) })
		p.MarkLeaving(&peers.EndpointStatus{ID: "f", StartedAtMs: 6})
		b.close()
		waitFor(func() bool { return a.HostCount() == 1 })

		restarted := n.newHost("b", 2, echo)
		defer restarted.close()
		a.AddRecords(restarted.record)
		a.waitForPeers(1)
		p = a.ByService("s")[0]
		So(p.IsLeaving(p.Endpoint()), ShouldBeTrue)
		So(p.IsLeaving(&peers.EndpointStatus{ID: "e", StartedAtMs: 6}), ShouldBeFalse)
		So(<-restarted.learned, ShouldResemble, append(left, departures.Departure{ID: "f", StartedAtMs: 6}))
		So(restarted.confirmed, ShouldBeEmpty)
	})
	inBubble(t, "a host restarts while its endpoint is in use", func(_ C, n *testNetwork) {
		a := n.newHost("a", 1, echo)
		defer a.close()
		b := n.newHost("b", 1, echo)
		a.AddRecords(b.record)
		a.waitForPeers(1)
		b.waitForPeers(1)
		So(b.confirmed, ShouldBeEmpty)
		b.close()
		waitFor(func() bool { return a.HostCount() == 1 })

		restarted := n.newHost("b", 2, echo)
		defer restarted.close()
		a.AddRecords(restarted.record)
		a.waitForPeers(1)
		So(<-restarted.confirmed, ShouldResemble, departures.Incarnation{ID: "e"})
	})
}

// Guards against a host that keeps an old plan because its store reads fail.
func TestPlanRequest(t *testing.T) {
	inBubble(t, "the plan of a peer is requested as a delta", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, echo)
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		b.version.Store(7)
		b.ReportNow()
		for v := range a.planVersions {
			if v == 7 {
				break
			}
		}
		So(a.RequestPlan("b", 4), ShouldBeNil)
		d := <-a.plans
		So(d.Base, ShouldEqual, 4)
		So(d.Version, ShouldEqual, 7)
		So(a.RequestPlan("unknown", 4), ShouldNotBeNil)
	})
}

// Guards against sending calls to a host that no longer responds before its link is
// closed.
func TestSilentHostIsStaleBeforeItsLinkCloses(t *testing.T) {
	inBubble(t, "a host that stops reporting", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, echo)
		defer a.close()
		defer b.close()
		b.AddRecords(a.record)
		a.waitForPeers(1)
		p := a.ByService("s")[0]
		So(p.Stale(), ShouldBeFalse)
		b.pauseReports()
		stopped := time.Now()
		waitFor(p.Stale)
		So(time.Since(stopped), ShouldBeLessThan, 1200*time.Millisecond)
		So(a.ByService("s"), ShouldHaveLength, 1)
		waitFor(func() bool { return len(a.ByService("s")) == 0 })
	})
	inBubble(t, "a host that continues to report", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, echo)
		defer a.close()
		defer b.close()
		b.AddRecords(a.record)
		a.waitForPeers(1)
		// The report after one that is sent between two checks of the links is the latest
		// possible.
		time.Sleep(10 * time.Millisecond)
		for range 5 {
			b.ReportNow()
			for range 6 {
				time.Sleep(100 * time.Millisecond)
				So(a.ByService("s")[0].Stale(), ShouldBeFalse)
			}
		}
	})
}
