package settings

import (
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

const valid = `# a node
[node]
host = qx-a-1
failure-domain = qx-a
[listen]
peer = 127.0.0.1:7401
call = 127.0.0.1:7402
entry = 127.0.0.1:7403
operator = 127.0.0.1:7404
endpoints = 127.0.0.1:7405
[peers]
seeds = 127.0.0.1:7501, 127.0.0.1:7601
[store]
address = 127.0.0.1:7400
`

func TestParse(t *testing.T) {
	Convey("Valid settings take defaults for absent keys", t, func() {
		s, err := Parse([]byte(valid))
		So(err, ShouldBeNil)
		So(s.Peers.Seeds, ShouldResemble, []string{"127.0.0.1:7501", "127.0.0.1:7601"})
		So(s.Claims.Retention, ShouldEqual, 24*time.Hour)
		So(s.Node.DrainLimit, ShouldEqual, 0)
	})
	Convey("All problems are reported together, each with its line", t, func() {
		text := "[node]\nhost = a b\nhots = x\n[listen]\npeer = localhost:1\nendpoints = 10.0.0.1:5\n[lsiten]\n[retry]\nbudget-share = 2\n"
		_, err := Parse([]byte(text))
		var problems Problems
		So(errors.As(err, &problems), ShouldBeTrue)
		lines := map[int]string{}
		for _, p := range problems {
			if p.Line > 0 {
				lines[p.Line] = p.Key
			}
		}
		So(lines, ShouldResemble, map[int]string{2: "host", 3: "hots", 5: "peer", 6: "endpoints", 7: "", 9: "budget-share"})
		So(err.Error(), ShouldContainSubstring, `line 5: [listen] peer = "localhost:1": expected an IP address`)
		So(err.Error(), ShouldContainSubstring, "[store] address: expected a value")
	})
	Convey("A duplicate key is a problem, because one value would hide the other", t, func() {
		_, err := Parse([]byte(valid + "address = 127.0.0.1:9\n"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "line 15")
	})
}

func TestReferencePageMatchesTheKeys(t *testing.T) {
	Convey("docs/settings.md is the reference generated from the keys", t, func() {
		page, err := os.ReadFile("../docs/settings.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, Reference())
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[a]\n=\n[\nx"))
	f.Add([]byte("[node]\nhost = \"\"\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
