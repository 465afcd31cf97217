package callmux

import (
	"net/http"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/transport"
)

// newStreams returns a mux without a link that has an outgoing and an incoming call with the
// stream 1.
func newStreams() (*Mux, *outgoing, *incoming) {
	o := &outgoing{result: make(chan call.Result, 1), window: newSendWindow(0), response: newPipe(func(int) {}), received: make(chan struct{})}
	in := &incoming{cancel: func() {}, window: newSendWindow(windowBytes), body: newPipe(func(int) {}), released: make(chan struct{})}
	return &Mux{outgoing: map[uint64]*outgoing{1: o}, incoming: map[uint64]*incoming{1: in}}, o, in
}

func newMessage(kind transport.Kind, body any) transport.Message {
	frame, err := transport.EncodeFrame(kind, body)
	if err != nil {
		panic(err)
	}
	m, err := transport.ParseFrame(frame)
	if err != nil {
		panic(err)
	}
	return m
}

// Guards against a message of a peer that ends the process: a credit that makes the length
// of a chunk negative, a result without a response, a response without a status.
func TestMalformedMessagesEndTheLinkOnly(t *testing.T) {
	for name, m := range map[string]transport.Message{
		"negative credit for a request":  newMessage(transport.KindCallCredit, creditFrame{Stream: 1, Bytes: -1}),
		"negative credit for a response": newMessage(transport.KindResponseCredit, creditFrame{Stream: 1, Bytes: -windowBytes - 1}),
		"credit beyond the window":       newMessage(transport.KindResponseCredit, creditFrame{Stream: 1, Bytes: 1 << 40}),
		"a failure that is an answer":    newMessage(transport.KindAttemptFailed, failedFrame{Stream: 1, Outcome: call.Answered}),
		"a failure without an outcome":   newMessage(transport.KindAttemptFailed, failedFrame{Stream: 1}),
		"a failure of an unknown sort":   newMessage(transport.KindAttemptFailed, failedFrame{Stream: 1, Outcome: 200}),
		"a negative retry-after":         newMessage(transport.KindAttemptFailed, failedFrame{Stream: 1, Outcome: call.Rejected, RetryAfter: -1}),
		"a response without a status":    newMessage(transport.KindResponseHead, headFrame{Stream: 1}),
		"a response with status 1000":    newMessage(transport.KindResponseHead, headFrame{Stream: 1, Status: 1000}),
		"a body of a negative length":    newMessage(transport.KindResponseHead, headFrame{Stream: 1, Status: 200, BodyBytes: -2}),
		"a body of another length":       newMessage(transport.KindResponseHead, headFrame{Stream: 1, Status: 200, BodyBytes: 5, Body: []byte("x")}),
	} {
		Convey(name, t, func() {
			mux, o, in := newStreams()
			known, err := mux.Handle(m)
			So(known, ShouldBeTrue)
			So(err, ShouldNotBeNil)
			So(o.result, ShouldBeEmpty)
			So(o.window.credit, ShouldBeBetweenOrEqual, 0, windowBytes)
			So(in.window.credit, ShouldBeBetweenOrEqual, 0, windowBytes)
		})
	}
}

// Guards against a status that HTTP does not have and that an earlier program passes on. It
// costs the call, not the link.
func TestStatusesThatHTTPDoesNotHave(t *testing.T) {
	for _, status := range []int{100, 101, 199, 600, 999} {
		Convey(strconv.Itoa(status), t, func() {
			mux, o, _ := newStreams()
			_, err := mux.Handle(newMessage(transport.KindResponseHead, headFrame{Stream: 1, Status: status}))
			So(err, ShouldBeNil)
			So(mux.finishRun(1, o, <-o.result), ShouldResemble, call.Result{Outcome: call.Broken, Reason: call.ReasonResponseMalformed, Sent: true, HasLoad: true})
		})
	}
}

// Guards against a field whose name is no token and that an earlier program passes on. It
// costs the call, not the link.
func TestMalformedFieldNames(t *testing.T) {
	for name, want := range map[string]call.AttemptOutcome{"Content-Length ": call.Broken, "X A": call.Broken, "X\r\nA": call.Broken, "": call.Broken, "x!#$%&'*+-.^_`|~": call.Answered} {
		Convey(strconv.Quote(name), t, func() {
			mux, o, _ := newStreams()
			_, err := mux.Handle(newMessage(transport.KindResponseHead, headFrame{Stream: 1, Status: http.StatusOK, Header: []string{"A", "b", name, "c"}}))
			So(err, ShouldBeNil)
			So(mux.finishRun(1, o, <-o.result).Outcome, ShouldEqual, want)
		})
	}
}

// FuzzMessages guards against a panic, and against results that callers cannot use, whatever
// a peer sends for a call in progress.
func FuzzMessages(f *testing.F) {
	for _, m := range []transport.Message{
		newMessage(transport.KindCallCredit, creditFrame{Stream: 1, Bytes: 10}),
		newMessage(transport.KindResponseHead, headFrame{Stream: 1, Status: http.StatusOK, Header: []string{"A", "b"}, BodyBytes: 1, Body: []byte("x")}),
		newMessage(transport.KindAttemptFailed, failedFrame{Stream: 1, Outcome: call.Rejected}),
		newMessage(transport.KindResponseData, dataFrame{Stream: 1, Data: []byte("x"), End: true}),
		newMessage(transport.KindCallReceived, streamFrame{Stream: 1}),
	} {
		f.Add(uint8(m.Kind), m.Body)
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		if k := transport.Kind(kind); k == transport.KindCallOpen || k == transport.KindCallHeld || k == transport.KindCallOpenFor {
			return // These need a link.
		}
		mux, o, in := newStreams()
		_, _ = mux.Handle(transport.Message{Kind: transport.Kind(kind), Body: body})
		for _, w := range []*sendWindow{o.window, in.window} {
			if w.credit < 0 || w.credit > 2*windowBytes {
				t.Fatalf("credit %d", w.credit)
			}
		}
		select {
		case r := <-o.result:
			if r.Outcome < call.Answered || r.Outcome > call.Expired || (r.Outcome == call.Answered) != (r.Response != nil) {
				t.Fatalf("%+v", r)
			}
		default:
		}
	})
}
