package ingress_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockingEndpoint is an endpoint that responds with the path of the request once it
// is released.
type blockingEndpoint struct {
	started chan string
	release chan struct{}
}

func newBlockingEndpoint() *blockingEndpoint {
	return &blockingEndpoint{started: make(chan string, 10), release: make(chan struct{})}
}

func (b *blockingEndpoint) serve(out http.ResponseWriter, r *http.Request) {
	b.started <- r.URL.Path
	<-b.release
	_, _ = io.WriteString(out, r.URL.Path) // The client checks the body.
}

// Guards against responses of forwarded requests that are dropped because an earlier
// response of the connection was marked as its last one.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	inBubble(t, "three requests of a connection are executed when the drain starts", func() {
		b := newBlockingEndpoint()
		ts := newBubbleServer(b.serve)
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		paths := []string{"/read/1", "/read/2", "/read/3"}
		for i, path := range paths {
			_, err := io.WriteString(c, get(strconv.Itoa(i), path))
			So(err, ShouldBeNil)
			<-b.started
		}
		now := ts.clock()
		ts.server.Drain(now+time.Minute, now+2*time.Minute)
		close(b.release)
		for i, path := range paths {
			status, body, h := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, path)
			So(h.Get("Connection") == "close", ShouldEqual, i == len(paths)-1)
		}
		_, err := r.ReadByte()
		So(err, ShouldEqual, io.EOF)
	})
}

// Guards against a request behind the last response of a draining connection that is
// forwarded and not answered.
func TestDrainForwardsNothingItCannotAnswer(t *testing.T) {
	Convey("a client goes on sending requests while the node drains", t, func() {
		var mu sync.Mutex
		executed := map[string]bool{}
		ts := newTestServer(func(out http.ResponseWriter, r *http.Request) {
			mu.Lock()
			executed[requestID(r)] = true
			mu.Unlock()
			_, _ = io.WriteString(out, r.URL.Path) // The client checks the body.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		go func() {
			for range ts.finished {
			}
		}()
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		go func() {
			for i := range 5000 {
				if i == 1000 {
					now := ts.clock()
					ts.server.Drain(now+time.Minute, now+2*time.Minute)
				}
				if _, err := io.WriteString(c, get(strconv.Itoa(i), "/read/"+strconv.Itoa(i))); err != nil {
					return
				}
			}
		}()
		answered := 0
		for closed := false; !closed; answered++ {
			status, body, h := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, "/read/"+strconv.Itoa(answered))
			closed = h.Get("Connection") == "close"
		}
		mu.Lock()
		defer mu.Unlock()
		So(len(executed), ShouldEqual, answered)
	})
}

// Guards against a response that is dropped, or taken for that of another request,
// because a later request of the connection asks to close it.
func TestPipelinedRequestWithConnectionClose(t *testing.T) {
	inBubble(t, "the last of two requests has the header Connection: close", func() {
		b := newBlockingEndpoint()
		ts := newBubbleServer(b.serve)
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/read/1")+request("GET", "2", "/read/2", "Connection: close\r\n"))
		So(err, ShouldBeNil)
		<-b.started
		<-b.started
		close(b.release)
		for i, path := range []string{"/read/1", "/read/2"} {
			status, body, h := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, path)
			So(h.Get("Connection") == "close", ShouldEqual, i == 1)
		}
		_, err = r.ReadByte()
		So(err, ShouldEqual, io.EOF)
	})
}

// Guards against a connection reset that discards the unsent part of the last
// response, because the client had sent a further request.
func TestLastResponseIsNotDiscardedByUnreadRequest(t *testing.T) {
	Convey("a slow client sends a request behind the last response", t, func() {
		content := bytes.Repeat([]byte("0123456789abcdef"), 1<<20/16)
		ts := newTestServer(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = out.Write(content) // The client checks the body.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, request("GET", "1", "/read/1", "Connection: close\r\n")+get("2", "/read/2"))
		So(err, ShouldBeNil)
		ts.waitForExchange("1")
		_, err = io.WriteString(c, get("3", "/read/3"))
		So(err, ShouldBeNil)
		status, body, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(len(body), ShouldEqual, len(content))
	})
}

// Guards against a connection reset that discards a complete response, because a later
// response of the connection was truncated and the client had sent further requests.
func TestTruncatedResponseDoesNotDiscardTheOneBefore(t *testing.T) {
	Convey("a slow client, a long response, a truncated one and an unread request", t, func() {
		content := bytes.Repeat([]byte("0123456789abcdef"), 1<<20/16)
		ts := newTestServer(func(out http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read/1" {
				_, _ = out.Write(content) // The client checks the body.
				return
			}
			_, _ = out.Write(content[:300<<10]) // The handler aborts next.
			out.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		const unread = 100_000
		_, err := io.WriteString(c, get("1", "/read/1")+get("2", "/read/2")+
			request("POST", "3", "/order/3", "Content-Length: 100000\r\n"))
		So(err, ShouldBeNil)
		_, err = c.Write(make([]byte, unread))
		So(err, ShouldBeNil)
		So(ts.waitForExchange("2").Reason, ShouldEqual, "answer_truncated")
		status, body, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(len(body), ShouldEqual, len(content))
		response, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		_, err = io.ReadAll(response.Body)
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
	})
}

// Guards against a request that is lost because its connection is closed as idle after the
// request has arrived and before the server has begun to read it.
func TestRequestThatHasArrivedIsReadBeforeTheConnectionCloses(t *testing.T) {
	Convey("a server without calls closes idle connections as requests arrive", t, func() {
		ts := newTestServer(func(out http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(out, r.URL.Path) // The client checks the body.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		for i := range 90 { // Whether the server has begun to read is up to the scheduler.
			c, r := ts.dial()
			for ts.server.Connections() == 0 {
				runtime.Gosched()
			}
			path := "/order/" + strconv.Itoa(i)
			_, err := io.WriteString(c, get(strconv.Itoa(i), path))
			So(err, ShouldBeNil)
			ts.server.CloseIdle()
			status, body, _ := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, path)
			So(c.Close(), ShouldBeNil)
			for ts.server.Connections() != 0 {
				runtime.Gosched()
			}
		}
	})
}
