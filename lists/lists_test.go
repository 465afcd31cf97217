package lists

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"
	"gopkg.in/ini.v1"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// A fixed seed gives every run the same cases; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1300"); err != nil {
		panic(err)
	}
}

const testAllowances = `# limits
[plan gold]
rate-per-second = 50
burst = 100
concurrency = 20

[service desk]
max-queue = 30

[route gold/orders]
service = desk
path-prefix = /orders
rank = standard
deadline = 5s
keyed = true

[route gold/root]
service = desk
path-prefix = /
rank = bulk
deadline = 2m
long = true
`

func testPlans(customers ...string) string {
	var b strings.Builder
	for i, c := range customers {
		fmt.Fprintf(&b, "[customer %s]\nplan = gold\ntoken-sha256 = %064x\n", c, i+1)
	}
	return b.String()
}

func TestParseReportsEveryProblem(t *testing.T) {
	Convey("Parse reports all problems of both lists with list, entry, key, line, value and expectation", t, func() {
		plans := "loose = 1\n[customer a]\nplan = none\ntoken-sha256 = xyz\ntypo = 1\n[customer a]\n[plan b]\n[customer c\nnonsense\n"
		allowances := testAllowances + "[route gold/twice]\nservice = missing\npath-prefix = /orders\n" +
			"rank = soon\ndeadline = 1\nkeyed = true\nrepeatable = true\n[service s]\nother-share = 0.95\nother-share = 0.1\n"
		_, err := Parse([]byte(plans), []byte(allowances))
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		var e *ProblemsError
		So(errors.As(err, &e), ShouldBeTrue)
		got := lo.Map(e.Problems, func(p Problem, _ int) string {
			So(p.Expectation, ShouldNotBeEmpty)
			return fmt.Sprintf("%s %d %s/%s=%s", p.List, p.Line, p.Entry, p.Key, p.Value)
		})
		So(got, ShouldResemble, []string{
			"plans 1 /loose=1", "plans 3 customer a/plan=none", "plans 4 customer a/token-sha256=xyz",
			"plans 5 customer a/typo=1", "plans 6 customer a/=", "plans 7 plan b/=", "plans 8 /=[customer c",
			"plans 9 /=nonsense",
			"allowances 24 route gold/twice/service=missing",
			"allowances 25 route gold/twice/path-prefix=/orders", "allowances 26 route gold/twice/rank=soon",
			"allowances 27 route gold/twice/deadline=1", "allowances 28 route gold/twice/keyed=true",
			"allowances 31 service s/other-share=0.95", "allowances 32 service s/other-share=0.1",
		})
	})
	Convey("Parse limits the number of problems that malicious text produces", t, func() {
		_, err := Parse([]byte(strings.Repeat("x\n", 5000)), nil)
		var e *ProblemsError
		So(errors.As(err, &e), ShouldBeTrue)
		So(len(e.Problems), ShouldEqual, MaxProblems)
		So(e.Omitted, ShouldEqual, 4000)
	})
}

func TestMatch(t *testing.T) {
	Convey("Match finds the longest prefix of whole segments and no route for paths that an endpoint could resolve differently", t, func() {
		l, err := Parse([]byte(testPlans("a")), []byte(testAllowances))
		So(err, ShouldBeNil)
		c, err := Compile(l)
		So(err, ShouldBeNil)
		want := map[string]mesh.RouteName{
			"/orders": "gold/orders", "/orders/7": "gold/orders", "/orders-old": "gold/root", "/": "gold/root",
			"/.well-known": "gold/root", "/a/../orders": "", "//orders": "", "/orders/.": "", "orders": "", "": "",
		}
		for path, name := range want {
			route := c.Match(c.Customers["a"], path)
			So(lo.FromPtr(route).Name, ShouldEqual, name)
		}
		So(c.Match(nil, "/orders"), ShouldBeNil)
		So(c.Services["desk"].LongShare, ShouldEqual, DefaultLongShare)
	})
}

// drawLists draws valid lists.
func drawLists(t *rapid.T) Lists {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 0, 6, rapid.ID[string]).Draw(t, "customers")
	l, err := Parse([]byte(testPlans(names...)), []byte(testAllowances))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range rapid.SliceOfDistinct(rapid.StringMatching(`[a-z]{1,2}`), rapid.ID[string]).Draw(t, "routes") {
		l[EntryKey{ListAllowances, KindRoute, "gold/" + name}] = Fields{
			FieldService: "desk", FieldPathPrefix: "/x/" + name, FieldDeadline: "1s",
			FieldRank: rapid.SampledFrom([]string{"urgent", "standard", "bulk"}).Draw(t, "rank"),
		}
	}
	return l
}

func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawLists(t), drawLists(t)
		plans, allowances := Format(from)
		reparsed, err := Parse(plans, allowances)
		if err != nil || len(Diff(from, reparsed)) != 0 {
			t.Fatalf("Parse(Format(l)) differs from l: %v", err)
		}
		if _, err := ini.Load(plans, allowances); err != nil {
			t.Fatalf("gopkg.in/ini.v1, a common INI parser, rejects the format: %v", err)
		}
		edits := Diff(from, to)
		applied, err := Apply(from, edits)
		if err != nil || len(Diff(applied, to)) != 0 {
			t.Fatalf("Apply(from, Diff(from, to)) differs from to: %v", err)
		}
		undone, err := Apply(applied, Invert(edits))
		if err != nil || len(Diff(undone, from)) != 0 {
			t.Fatalf("applying Invert(edits) does not undo edits: %v", err)
		}
		body, err := Encode(to)
		if err != nil {
			t.Fatal(err)
		}
		body2, _ := Encode(applied)
		decoded, err := Decode(body)
		if err != nil || string(body) != string(body2) || len(Diff(decoded, to)) != 0 {
			t.Fatalf("the encoding of equal lists differs: %v", err)
		}
	})
}

func TestApplyConflict(t *testing.T) {
	Convey("An edit of an entry that has changed since is a conflict that shows both values", t, func() {
		key := EntryKey{ListPlans, KindCustomer, "a"}
		base := Lists{key: Fields{"plan": "gold"}}
		_, err := Apply(base, []Edit{{Key: key, Before: Fields{"plan": "old"}, After: Fields{"plan": "mine"}}})
		So(errors.Is(err, ErrConflict), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "now {plan = gold}, wanted {plan = mine}")
		_, err = Apply(base, []Edit{{Key: key, After: Fields{}}})
		So(errors.Is(err, ErrConflict), ShouldBeTrue)
		_, err = Apply(base, []Edit{{Key: key, Before: base[key]}, {Key: key, After: Fields{}}})
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
	})
}

func TestNewVersion(t *testing.T) {
	Convey("NewVersion accepts only a body with the right digest, the canonical encoding and valid lists", t, func() {
		l, err := Parse([]byte(testPlans("a")), []byte(testAllowances))
		So(err, ShouldBeNil)
		newVersion := func(body []byte) error {
			_, err := NewVersion(mesh.VersionID{Sequence: 1, Digest: mesh.DigestOf(body)}, Change{}, body)
			return err
		}
		body, _ := Encode(l)
		So(newVersion(body), ShouldBeNil)
		_, err = NewVersion(mesh.VersionID{Sequence: 1}, Change{}, body)
		So(errors.Is(err, ErrDigest), ShouldBeTrue)
		So(errors.Is(newVersion(append(body, 0)), ErrEncoding), ShouldBeTrue)
		So(errors.Is(newVersion([]byte{0x82, 0x18, 0x01, 0x80}), ErrEncoding), ShouldBeTrue)
		delete(l, EntryKey{ListAllowances, KindService, "desk"})
		body, _ = Encode(l)
		So(errors.Is(newVersion(body), ErrInvalid), ShouldBeTrue)
		So(errors.Is(newVersion([]byte(strings.Repeat("x", MaxBodyBytes+1))), ErrTooLarge), ShouldBeTrue)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(testPlans("a")), []byte(testAllowances))
	f.Add([]byte("[customer a]\nplan = \xff\n\xef\xbb\xbf[["), []byte("[route /]\n= =\r\n;"))
	f.Fuzz(func(t *testing.T, plans, allowances []byte) {
		l, err := Parse(plans, allowances)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("the error is not ErrInvalid: %v", err)
			}
			return
		}
		reparsed, err := Parse(Format(l))
		if err != nil || len(Diff(l, reparsed)) != 0 {
			t.Fatalf("Parse(Format(l)) differs from l: %v", err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	l, _ := Parse([]byte(testPlans("a", "b")), []byte(testAllowances))
	body, _ := Encode(l)
	f.Add(body)
	f.Add([]byte{0x82, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := Decode(body)
		if err != nil {
			return
		}
		reencoded, err := Encode(l)
		if err != nil || string(reencoded) != string(body) {
			t.Fatalf("Decode accepted a body that is not canonical: %v", err)
		}
		_, _ = Compile(l)
	})
}
