package ingress_test

import (
	"io"
	"net/http"
	"runtime"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against calls that end without a response because the process ends before
// them.
func TestAbortedCallsGetAResponse(t *testing.T) {
	for _, path := range []string{"/read/", "/order/"} {
		Convey("four calls are executed and one waits for a slot: "+path, t, func() {
			started := make(chan struct{}, 5)
			ts := newTestServer(func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
			})
			defer ts.close()
			ts.plan.Activate(testPlan(1))
			const executed = 4
			statuses := make(chan [2]string, executed+1)
			send := func(id int) {
				c, r := ts.dial()
				_, err := io.WriteString(c, get(strconv.Itoa(id), path+strconv.Itoa(id)))
				So(err, ShouldBeNil)
				go func() {
					defer func() { _ = c.Close() }()
					status, _, h := readResponse(r)
					statuses <- [2]string{strconv.Itoa(status), h.Get("Retry-After")}
				}()
			}
			for i := range executed {
				send(i)
				<-started
			}
			send(executed)
			for ts.server.Active() <= executed {
				runtime.Gosched()
			}
			ts.server.Abort()
			counts := map[string]int{}
			for range executed + 1 {
				got := <-statuses
				counts[got[0]]++
				So(got[1] != "", ShouldEqual, got[0] == "503")
			}
			So(counts, ShouldResemble, map[string]int{"502": executed, "503": 1})
			So(len(started), ShouldEqual, 0)
		})
	}
}

// Guards against a waiting call that gets the slot of an ended one, is executed and ended.
func TestWaitingCallsAreNotExecutedAfterAnAbort(t *testing.T) {
	for range 20 { // The connections are ended in random order.
		Convey("four calls are executed and others wait for a slot", t, func() {
			const executed, waiting = 4, 60
			started := make(chan struct{}, executed+waiting)
			ts := newTestServer(func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
			})
			defer ts.close()
			ts.plan.Activate(testPlan(1))
			statuses := make(chan int, executed+waiting)
			send := func(id int) {
				c, r := ts.dial()
				_, err := io.WriteString(c, get(strconv.Itoa(id), "/order/"+strconv.Itoa(id)))
				So(err, ShouldBeNil)
				go func() {
					defer func() { _ = c.Close() }()
					status, _, _ := readResponse(r)
					statuses <- status
				}()
			}
			for i := range executed {
				send(i)
				<-started
			}
			for i := range waiting {
				send(executed + i)
			}
			for ts.registration.Current().Queue.Load().Waiting < waiting {
				runtime.Gosched()
			}
			ts.server.Abort()
			counts := map[int]int{}
			for range executed + waiting {
				counts[<-statuses]++
			}
			So(counts, ShouldResemble, map[int]int{502: executed, 503: waiting})
			So(len(started), ShouldEqual, 0)
		})
	}
}

// Guards against a call on a connection that is accepted after the calls in flight were
// ended, which would be executed while the process ends.
func TestCallsAfterAnAbortAreRejected(t *testing.T) {
	Convey("a connection is opened after the calls in flight were ended", t, func() {
		b := newBlockingEndpoint()
		ts := newTestServer(b.serve)
		defer ts.close()
		close(b.release)
		ts.plan.Activate(testPlan(1))
		ts.server.Abort()
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/order/1"))
		So(err, ShouldBeNil)
		status, _, h := readResponse(r)
		So(status, ShouldEqual, 503)
		So(h.Get("Retry-After"), ShouldNotBeEmpty)
		So(len(b.started), ShouldEqual, 0)
	})
}
