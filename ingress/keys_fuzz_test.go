package ingress

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// FuzzHeadersWithKeys guards against a key that passes the ingress, and a name of a workspace
// that a client has chosen, for endpoints that read names of headers without regard to case
// and surrounding space.
func FuzzHeadersWithKeys(f *testing.F) {
	for _, lines := range []string{
		standin.KeyLine("key"),
		strings.ToLower(standin.KeyLine("key")) + standin.WorkspaceHeader + ": other\r\n",
		standin.KeyLine("key") + "Connection: close, " + standin.WorkspaceHeader + "\r\n",
		standin.KeyHeader + " : key\r\n",
		standin.KeyLine("key") + " " + standin.KeyLine("key"),
		standin.KeyHeader + "\t: key\r\n" + standin.KeyLine("key"),
	} {
		f.Add(lines)
	}
	plan := &routeplan.Plan{
		Version: 1, Services: []routeplan.Service{{Name: "s"}}, Limits: routeplan.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
		Routes:     []routeplan.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routeplan.Idempotent, Timeout: 1, LatencyTarget: 1, MaxAttempts: 1, Split: []routeplan.WeightedService{{Service: "s", Weight: 1}}}},
		Workspaces: []routeplan.Workspace{{Name: "w", Keys: []routeplan.Fingerprint{routeplan.FingerprintOf("key")}}},
	}
	if err := plan.Compile(); err != nil {
		f.Fatal(err)
	}
	server := New(Config{
		Keys: platform.Headers{}, Headers: platform.Headers{}, Clock: func() boottime.Time { return 0 }, RunningCalls: localendpoint.NewRunningCalls(),
		LocalService: func() mesh.ServiceName { return "s" },
	})
	server.config.Plan = &routeplan.ActivePlan{}
	server.config.Plan.Activate(plan)
	f.Fuzz(func(t *testing.T, lines string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n")))
		if err != nil || r.Host != "h" {
			return
		}
		x := &exchange{c: &connection{server: server}}
		if x.matchRoute(r) != nil {
			return
		}
		if x.workspace == nil {
			t.Fatal("a call without a workspace")
		}
		for name, values := range x.newCall(r).Header {
			switch strings.ToLower(strings.TrimSpace(name)) {
			case strings.ToLower(standin.KeyHeader):
				t.Fatalf("key %q", values)
			case strings.ToLower(standin.WorkspaceHeader):
				if len(values) != 1 || values[0] != "w" {
					t.Fatalf("workspace %q", values)
				}
			}
		}
		if name := (&http.Request{Header: r.Header}).Header.Get(standin.WorkspaceHeader); name != "w" {
			t.Fatalf("workspace %q", name)
		}
	})
}
