package plancheck_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/plancheck"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

func plan(change func(*routeplan.Plan)) *routeplan.Plan {
	p := &routeplan.Plan{
		Version: 2, Limits: routeplan.Limits{HeaderBytes: 100, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
		Services: []routeplan.Service{{Name: "one"}, {Name: "two"}},
		Routes: []routeplan.Route{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: routeplan.AtMostOnce, Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 1,
			Split: []routeplan.WeightedService{{Service: "one", Weight: 1}, {Service: "two", Weight: 1}},
		}},
		Workspaces: []routeplan.Workspace{{Name: "w", Keys: []routeplan.Fingerprint{routeplan.FingerprintOf("secret")}, CallsPerSecond: 5, Burst: 5}},
	}
	change(p)
	if err := p.Compile(); err != nil {
		panic(err)
	}
	return p
}

// Guards against a plan that is sent although a part of it has no effect.
func TestCheck(t *testing.T) {
	for text, change := range map[string]func(*routeplan.Plan){
		"":                                     func(*routeplan.Plan) {},
		"service two has weight 0":             func(p *routeplan.Plan) { p.Routes[0].Split[1].Weight = 0 },
		"latency target 2s is after":           func(p *routeplan.Plan) { p.Routes[0].LatencyTarget = 2 * time.Second },
		"2 attempts, but":                      func(p *routeplan.Plan) { p.Routes[0].MaxAttempts = 2 },
		"no route leads to it":                 func(p *routeplan.Plan) { p.Services = append(p.Services, routeplan.Service{Name: "three"}) },
		"has a character that no path has":     func(p *routeplan.Plan) { p.Routes[0].Prefix = "/a?b/" },
		"is not the name of a host":            func(p *routeplan.Plan) { p.Routes[0].Host = "h/x" },
		"public, but there are no":             func(p *routeplan.Plan) { p.Routes[0].Public, p.Workspaces = true, nil },
		"it has no key":                        func(p *routeplan.Plan) { p.Workspaces[0].Keys = nil },
		"admits no call":                       func(p *routeplan.Plan) { p.Workspaces[0].Burst = 0.5 },
		"without a rate limits nothing":        func(p *routeplan.Plan) { p.Workspaces[0].CallsPerSecond = 0 },
		"can hardly have a body":               func(p *routeplan.Plan) { p.Limits.BodyBytes = 10 },
		"longer than a connection may be idle": func(p *routeplan.Plan) { p.Limits.HeaderTimeout = 3 * time.Second },
	} {
		Convey("a plan with: "+text, t, func() {
			findings := plancheck.Check(plan(change))
			if text == "" {
				So(findings, ShouldBeEmpty)
				return
			}
			So(findings, ShouldNotBeEmpty)
			So(findings[0].Text, ShouldContainSubstring, text)
		})
	}
	Convey("differences name entries, and keys by their fingerprint", t, func() {
		changes := plancheck.Diff(plan(func(*routeplan.Plan) {}), plan(func(p *routeplan.Plan) {
			p.Version, p.Routes[0].Timeout = 3, 2*time.Second
			p.Workspaces[0].Keys = append(p.Workspaces[0].Keys, routeplan.FingerprintOf("other"))
			p.Services = append(p.Services, routeplan.Service{Name: "three"})
		}))
		entries := []string{}
		for _, c := range changes {
			entries = append(entries, c.Entry)
			So(c.Before+c.After, ShouldNotContainSubstring, "secret")
		}
		So(entries, ShouldResemble, []string{"route a", "version", "workspace w", "service three"})
		So(plancheck.Diff(plan(func(*routeplan.Plan) {}), plan(func(*routeplan.Plan) {})), ShouldBeEmpty)
	})
}
