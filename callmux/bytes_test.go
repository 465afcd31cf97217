package callmux

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Guards against a call that closes the link to a host of an earlier program.
func TestCallsThatThePeerCannotReadAreRejected(t *testing.T) {
	Convey("a header that is not UTF-8, for a peer that reads text only", t, func() {
		m := &Mux{clock: func() boottime.Time { return 0 }}
		r := m.Run(context.Background(), &call.Call{ID: "1", Header: http.Header{"A": {"\xff"}}})
		So(r, ShouldResemble, call.Result{Outcome: call.Rejected, Reason: call.ReasonHostCannotRead})
	})
}

// Guards against a call of a workspace that an earlier program executes outside its share,
// and against a change of the other messages that start calls.
func TestMessagesThatStartCalls(t *testing.T) {
	open := openFrame{Stream: 7, ID: "1", Method: "GET", Rank: 2}
	encode := func(m *Mux, held bool, c *call.Call) (transport.Kind, openForFrame) {
		kind, frame, err := m.encodeOpen(open, held, c)
		So(err, ShouldBeNil)
		msg, err := transport.ParseFrame(frame)
		So(err, ShouldBeNil)
		So(msg.Kind, ShouldEqual, kind)
		f, err := decodeOpen(msg)
		So(err, ShouldBeNil)
		return kind, f
	}
	earlier, m := &Mux{}, &Mux{}
	m.SetKnowsWorkspaces()
	Convey("a call without a workspace", t, func() {
		for _, mux := range []*Mux{earlier, m} {
			kind, f := encode(mux, false, &call.Call{})
			So(kind, ShouldEqual, transport.KindCallOpen)
			So(f, ShouldResemble, openForFrame{Open: open, ClassRank: 2})
			kind, f = encode(mux, true, &call.Call{})
			So(kind, ShouldEqual, transport.KindCallHeld)
			So(f, ShouldResemble, openForFrame{Open: open, Held: true, ClassRank: 2})
		}
	})
	Convey("a call with a workspace or a long response", t, func() {
		for _, held := range []bool{false, true} {
			kind, f := encode(m, held, &call.Call{Workspace: "w", ClassRank: 5})
			So(kind, ShouldEqual, transport.KindCallOpenFor)
			So(f, ShouldResemble, openForFrame{Open: open, Held: held, Workspace: "w", ClassRank: 5})
			kind, f = encode(m, held, &call.Call{ResponseBytes: 90_000, ClassRank: 2})
			So(kind, ShouldEqual, transport.KindCallOpenFor)
			So(f, ShouldResemble, openForFrame{Open: open, Held: held, ClassRank: 2, ResponseBytes: 90_000})
		}
	})
	Convey("a host of an earlier program gets no call of a workspace, and no length of a response", t, func() {
		earlier.clock = func() boottime.Time { return 0 }
		r := earlier.Run(context.Background(), &call.Call{ID: "1", Workspace: "w"})
		So(r, ShouldResemble, call.Result{Outcome: call.Rejected, Reason: call.ReasonHostCannotRead})
		kind, _ := encode(earlier, false, &call.Call{ResponseBytes: 90_000})
		So(kind, ShouldEqual, transport.KindCallOpen)
	})
	Convey("a message with values that no host sends", t, func() {
		for _, f := range []openForFrame{{Open: open}, {Open: open, Workspace: "w", ResponseBytes: -1}} {
			_, err := decodeOpen(newMessage(transport.KindCallOpenFor, f))
			So(errors.Is(err, ErrMessage), ShouldBeTrue)
		}
	})
}

// FuzzCallOfWorkspace guards against a panic, and calls that the gate cannot use, whatever a
// peer sends to start a call of a workspace.
func FuzzCallOfWorkspace(f *testing.F) {
	f.Add(newMessage(transport.KindCallOpenFor, openForFrame{Open: openFrame{Stream: 1, ID: "1", Header: []string{"A", "\xff"}}, Held: true, Workspace: "w"}).Body)
	f.Add(newMessage(transport.KindCallOpenFor, openForFrame{ResponseBytes: 1 << 40}).Body)
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := decodeOpen(transport.Message{Kind: transport.KindCallOpenFor, Body: body})
		if err != nil {
			return
		}
		if got.ResponseBytes < 0 || got.Workspace == "" && got.ResponseBytes == 0 {
			t.Fatalf("%+v", got)
		}
		again, err := decodeOpen(newMessage(transport.KindCallOpenFor, got))
		if err != nil || again.Workspace != got.Workspace || again.Open.ID != got.Open.ID || again.Held != got.Held {
			t.Fatalf("%+v became %+v: %v", got, again, err)
		}
	})
}

// FuzzRequestHead guards against heads of requests that the receiving host cannot decode,
// or that change on their way.
func FuzzRequestHead(f *testing.F) {
	f.Add("id", "GET", "/a", "host", "Name", "value", []byte(nil))
	f.Add("\xff", "G\xe9T", "/\xe9?\x80", "h\xf0", "N", "Jos\xe9", []byte{0xff})
	f.Fuzz(func(t *testing.T, id, method, uri, host, name, value string, body []byte) {
		sent := openFrame{Stream: 7, ID: id, Method: method, URI: uri, Host: host, Header: []string{name, value}, Caller: "c", Service: "s", HasBody: true, Body: body}
		var got openFrame
		if err := newMessage(transport.KindCallOpen, sent).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if got.ID != id || got.Method != method || got.URI != uri || got.Host != host || got.Header[0] != name || got.Header[1] != value ||
			got.Caller != sent.Caller || got.Service != sent.Service || string(got.Body) != string(body) {
			t.Fatalf("%+v became %+v", sent, got)
		}
	})
}

// FuzzResponseHead is FuzzRequestHead for responses.
func FuzzResponseHead(f *testing.F) {
	f.Add("Name", "value", []byte("x"))
	f.Add("N", "Jos\xe9", []byte{0xff})
	f.Fuzz(func(t *testing.T, name, value string, body []byte) {
		sent := headFrame{Stream: 7, Status: http.StatusOK, Header: []string{name, value}, BodyBytes: int64(len(body)), Body: body}
		var got headFrame
		if err := newMessage(transport.KindResponseHead, sent).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if got.Header[0] != name || got.Header[1] != value || string(got.Body) != string(body) || got.Status != sent.Status {
			t.Fatalf("%+v became %+v", sent, got)
		}
	})
}
