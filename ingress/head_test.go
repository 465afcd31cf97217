package ingress

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request inside the body of another one: heads that two readers can read
// in different ways are rejected.
func TestMalformedHeads(t *testing.T) {
	for lines, malformed := range map[string]bool{
		"Content-Length: 3\r\n":                                       false,
		"Content-Length:3\r\n":                                        false,
		"Content-Length: 3\r\nContent-Length: 3\r\n":                  false,
		"Transfer-Encoding: chunked\r\n":                              false,
		"A: x\n":                                                      false,
		"A:\r\n":                                                      false,
		"Content-Length : 3\r\n":                                      true,
		"Content-Length\t: 3\r\n":                                     true,
		"Host : a\r\n":                                                true,
		"Content-Length: 3\r\nContent-Length: 4\r\n":                  true,
		"Content-Length: 3\r\ncontent-length: 4\r\n":                  true,
		"Content-Length: 3, 4\r\n":                                    true,
		"Content-Length: +3\r\n":                                      true,
		"Content-Length: 0x3\r\n":                                     true,
		"Content-Length:\r\n":                                         true,
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n":         true,
		"Transfer-Encoding: chunked\r\nA: b\r\ncontent-length: 3\r\n": true,
		"A: x\rContent-Length: 3\r\n":                                 true,
		"A: x\r\r\n":                                                  true,
		"A: x\r\n Content-Length: 3\r\n":                              true,
		"A: x\r\n\tb\r\n":                                             true,
		"no colon\r\n":                                                true,
		": no name\r\n":                                               true,
	} {
		Convey(strconv.Quote(lines), t, func() {
			head := "POST / HTTP/1.1\r\n" + lines + "\r\n"
			done, err := new(headCheck).scan([]byte(head + "rest"))
			So(done, ShouldBeTrue)
			So(err != nil, ShouldEqual, malformed)
			Convey("and in pieces", func() {
				check, done, err := headCheck{}, false, error(nil)
				for n := 1; n <= len(head) && !done; n++ {
					done, err = check.scan([]byte(head[:n]))
				}
				So(done, ShouldBeTrue)
				So(err != nil, ShouldEqual, malformed)
			})
		})
	}
}

// FuzzHeads checks that the parser reads a head that passes the check in the same way as
// the check does.
func FuzzHeads(f *testing.F) {
	for _, lines := range []string{"", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length : 3\r\n", "A: x\r\n b\r\n", "A: x\rb\r\n"} {
		f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\n" + lines + "\r\nabc"))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		var check headCheck
		done, err := check.scan(head)
		if !done || err != nil {
			return
		}
		r := bufio.NewReader(bytes.NewReader(head))
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		length, _ := strconv.ParseInt(check.length, 10, 64) // Without the header it is 0.
		switch {
		case check.hasCoding && request.ContentLength != -1 && request.ProtoAtLeast(1, 1):
			t.Fatalf("length %d beside a transfer encoding: %q", request.ContentLength, head)
		case !check.hasCoding && request.ContentLength != length:
			t.Fatalf("length %d, checked %q: %q", request.ContentLength, check.length, head)
		}
		if consumed := len(head) - r.Buffered(); request.Body == http.NoBody && consumed != check.scanned && !strings.HasPrefix(string(head), "\r\n") {
			t.Fatalf("head of %d bytes, checked %d: %q", consumed, check.scanned, head)
		}
	})
}
