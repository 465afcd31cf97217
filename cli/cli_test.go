package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
)

type fakeNode struct{ domains []mesh.FailureDomain }

func (n fakeNode) Status() operator.NodeStatus {
	return operator.NodeStatus{Host: "h1", State: "running", Domains: n.domains}
}

func (fakeNode) Explain(mesh.CallID) (operator.Explanation, error) {
	return operator.Explanation{}, operator.ErrCallNotFound
}
func (fakeNode) Drain() error            { return nil }
func (fakeNode) Version() *lists.Version { return nil }

// copyExampleLists copies the example lists to dir with from replaced by to.
func copyExampleLists(dir, from, to string) {
	for _, name := range []string{"plans.ini", "allowances.ini"} {
		text, err := os.ReadFile(filepath.Join("../examples/laronda", name))
		So(err, ShouldBeNil)
		So(os.WriteFile(filepath.Join(dir, name), bytes.ReplaceAll(text, []byte(from), []byte(to)), 0o600), ShouldBeNil)
	}
}

func replaceInFile(file, from, to string) {
	text, err := os.ReadFile(file)
	So(err, ShouldBeNil)
	So(string(text), ShouldContainSubstring, from)
	So(os.WriteFile(file, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600), ShouldBeNil)
}

// TestCommands guards against commands that lose a change or make it twice, that
// undo the changes of other operators, and against exit statuses that mislead a
// script.
func TestCommands(t *testing.T) {
	Convey("With a node served on loopback and lists in files", t, func() {
		store := memory.New()
		versions := authority.New(store, authority.Options{})
		api := operator.NewHandler(versions, fakeNode{domains: []mesh.FailureDomain{"d1"}}, nil)
		var loseResponses atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			api.ServeHTTP(w, r)
			if loseResponses.Load() && r.Method == http.MethodPost {
				panic(http.ErrAbortHandler) // The response is lost.
			}
		}))
		Reset(server.Close)
		dir := t.TempDir()
		plans, allowances := filepath.Join(dir, "plans.ini"), filepath.Join(dir, "allowances.ini")
		var stdout, stderr bytes.Buffer
		run := func(args ...string) ExitStatus {
			stdout.Reset()
			stderr.Reset()
			global := []string{"--address", strings.TrimPrefix(server.URL, "http://")}
			if lo.Contains([]string{"apply", "diff", "validate", "lists"}, args[0]) {
				args = append(args, "--plans", plans, "--allowances", allowances)
			}
			return ExitStatus(Run(context.Background(), append(args, global...), &stdout, &stderr))
		}
		copyExampleLists(dir, "", "")
		So(run("apply", "--change-id", "first"), ShouldEqual, ExitOK)
		So(stderr.String(), ShouldEqual, "change ID first\n")
		So(stdout.String(), ShouldEndWith, "version 1 accepted, change first\n")

		Convey("a retried apply finds its change, and an apply without differences does nothing", func() {
			So(run("apply", "--change-id", "first"), ShouldEqual, ExitOK)
			So(stdout.String(), ShouldContainSubstring, "version 1 was accepted by an earlier call")
			So(run("apply", "--json"), ShouldEqual, ExitOK)
			var change Change
			So(json.Unmarshal(stdout.Bytes(), &change), ShouldBeNil)
			So(change.Unchanged, ShouldBeTrue)
		})
		Convey("apply of files made from an older version keeps what others changed since", func() {
			So(run("lists"), ShouldEqual, ExitOK)
			original, err := os.ReadFile(allowances)
			So(err, ShouldBeNil)
			replaceInFile(allowances, "max-queue = 100", "max-queue = 101")
			So(run("apply"), ShouldEqual, ExitOK)
			So(os.WriteFile(allowances, original, 0o600), ShouldBeNil)
			replaceInFile(allowances, "max-queue = 40", "max-queue = 41")
			So(run("diff"), ShouldEqual, ExitOK)
			So(strings.Count(stdout.String(), "["), ShouldEqual, 1)
			So(run("apply"), ShouldEqual, ExitOK)
			l, _, err := versions.ListsAt(context.Background(), 0)
			So(err, ShouldBeNil)
			maxQueue := func(service string) string {
				return l[lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindService, Name: service}]["max-queue"]
			}
			So([]string{maxQueue("quality-log"), maxQueue("route-app")}, ShouldResemble, []string{"101", "41"})
			replaceInFile(allowances, "max-queue = 100", "max-queue = 102")
			So(run("apply"), ShouldEqual, ExitConflict)
			So(stderr.String(), ShouldContainSubstring, "max-queue = 101")
			So(stderr.String(), ShouldContainSubstring, "max-queue = 102")
		})
		Convey("after a lost response, the same command with the printed ID finds the change", func() {
			replaceInFile(allowances, "max-queue = 100", "max-queue = 101")
			loseResponses.Store(true)
			So(run("apply"), ShouldEqual, ExitUnknown)
			id := strings.TrimPrefix(strings.SplitN(stderr.String(), "\n", 2)[0], "change ID ")
			So(stderr.String(), ShouldContainSubstring, "--change-id "+id)
			loseResponses.Store(false)
			So(run("apply", "--change-id", id), ShouldEqual, ExitOK)
			So(stdout.String(), ShouldContainSubstring, "version 2 was accepted by an earlier call")
		})
		Convey("versions and audit show the history, and rollback restores older lists", func() {
			replaceInFile(allowances, "max-queue = 100", "max-queue = 101")
			So(run("apply"), ShouldEqual, ExitOK)
			So(run("rollback", "--to", "1"), ShouldEqual, ExitOK)
			So(run("versions"), ShouldEqual, ExitOK)
			So(strings.Count(stdout.String(), "\n"), ShouldEqual, 4)
			So(run("audit", "--limit", "1"), ShouldEqual, ExitOK)
			So(stdout.String(), ShouldContainSubstring, "max-queue = 101")
			So(run("rollback", "--to", "9"), ShouldEqual, ExitNotFound)
		})
		Convey("each kind of failure has its exit status", func() {
			So(run("status"), ShouldEqual, ExitOK)
			So(run("explain", "none"), ShouldEqual, ExitNotFound)
			So(run("drain", "--nonsense"), ShouldEqual, ExitUsage)
			So(run("apply", "plans.ini"), ShouldEqual, ExitUsage) // guards against a file name that is silently ignored
			So(run("restore"), ShouldEqual, ExitNotFound)
			So(run("rollback", "--to", "1", "--wait", "--timeout", "1ns"), ShouldEqual, ExitConflict)
			replaceInFile(allowances, "rank = bulk", "rank = soon")
			So(run("validate", "--json"), ShouldEqual, ExitInvalid)
			So(stderr.String(), ShouldContainSubstring, `"value": "soon"`)
			replaceInFile(allowances, "rank = soon", "rank = standard")
			So(run("apply", "--wait", "--timeout", "1ns"), ShouldEqual, ExitTimeout)
			store.SetFaults(memory.Faults{Unavailable: true})
			So(run("apply"), ShouldEqual, ExitUnavailable)
			So(stderr.String(), ShouldContainSubstring, "nothing was written")
			server.Close()
			So(run("status"), ShouldEqual, ExitUnavailable)
		})
	})
}

// TestWaitPrintsChangesOfState guards against repeated lines and against an end of
// --wait before every host runs the version.
func TestWaitPrintsChangesOfState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("wait prints one line per change of state and ends when every failure domain is complete", t, func() {
			start := time.Now()
			var out bytes.Buffer
			w := &convergenceWaiter{target: 8, out: &out, status: func(context.Context) (operator.Status, error) {
				s := operator.Status{Node: operator.NodeStatus{Domains: []mesh.FailureDomain{"d1", "d2"}}}
				switch elapsed := time.Since(start); {
				case elapsed < 2*time.Second:
					s.Domains = []authority.Summary{{Domain: "d1", Sequence: 7, Hosts: 3, AtSequence: 3}}
				case elapsed < 4*time.Second:
					s.Domains = []authority.Summary{
						{Domain: "d1", Sequence: 8, Hosts: 3, AtSequence: 3},
						{Domain: "d2", Sequence: 8, Hosts: 3, AtSequence: 2, Lagging: []authority.LaggingHost{{Host: "h9", Sequence: 7}}},
					}
				default:
					s.Domains = []authority.Summary{
						{Domain: "d1", Sequence: 9, Hosts: 3, AtSequence: 2, Lagging: []authority.LaggingHost{{Host: "h1", Sequence: 8}}},
						{Domain: "d2", Sequence: 8, Hosts: 3, AtSequence: 3},
					}
				}
				return s, nil
			}}
			So(w.run(context.Background()), ShouldBeNil)
			So(out.String(), ShouldEqual, `d1: 3 hosts, highest version 7
d2: no figures yet
d1: complete, 3 hosts run version 8 or later
d2: 2 of 3 hosts run version 8, lagging: h9 (7)
d2: complete, 3 hosts run version 8 or later
`)
		})
	})
}

// TestExamples guards against example lists that are invalid or no longer match
// the documented routes and tokens.
func TestExamples(t *testing.T) {
	Convey("The example lists are valid, route as documented and name their tokens", t, func() {
		for deployment, want := range map[string]map[string]lists.Route{
			"laronda": {
				"drivers /routes/7":         {Rank: mesh.RankUrgent, Repeatable: true},
				"shops /orders":             {Rank: mesh.RankStandard, Keyed: true},
				"shops /stock":              {Rank: mesh.RankBulk, Repeatable: true},
				"quality /quality/photos/1": {Rank: mesh.RankBulk, Long: true},
			},
			"skovgaard": {
				"schools /catalogue/rye":     {Rank: mesh.RankUrgent, Repeatable: true},
				"makers /orders":             {Rank: mesh.RankStandard, Keyed: true},
				"warehouse /catalogue/stock": {Rank: mesh.RankBulk, Repeatable: true},
				"schools /grain/photos":      {Rank: mesh.RankBulk, Long: true},
			},
		} {
			dir := filepath.Join("../examples", deployment)
			texts, err := fileOptions{filepath.Join(dir, "plans.ini"), filepath.Join(dir, "allowances.ini")}.read()
			So(err, ShouldBeNil)
			l, err := parseLists(texts)
			So(err, ShouldBeNil)
			config, err := lists.Compile(l)
			So(err, ShouldBeNil)
			for call, route := range want {
				customer, path, _ := strings.Cut(call, " ")
				token := sha256.Sum256(fmt.Appendf(nil, "%s-example-%s", deployment, customer))
				So(config.ByToken[token].ID, ShouldEqual, mesh.CustomerID(customer))
				got := config.Match(config.ByToken[token], path)
				So(got, ShouldNotBeNil)
				So(lists.Route{Rank: got.Rank, Repeatable: got.Repeatable, Keyed: got.Keyed, Long: got.Long}, ShouldResemble, route)
			}
		}
	})
}
