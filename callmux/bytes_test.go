package callmux

import (
	"context"
	"net/http"
	"testing"

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
