package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Key describes one key of the settings file.
type Key struct {
	Section string
	Name    string
	// Default is the text used when the key is absent. Required keys have none.
	Default  string
	Required bool
	// Expected states the accepted values.
	Expected string
	Help     string
	// set stores the value and reports whether text is accepted.
	set func(s *Settings, text string) bool
}

// Keys returns every key in the order of the reference page. The caller must not
// change the slice.
func Keys() []Key { return keys }

var keys = []Key{
	{
		Section: "node", Name: "host", Required: true, Expected: "1 to 64 letters, digits, '.', '_' or '-'",
		Help: "Identity of the host, unique in the mesh.",
		set:  func(s *Settings, t string) bool { s.Node.Host = mesh.HostID(t); return isName(t) },
	},
	{
		Section: "node", Name: "failure-domain", Required: true, Expected: "1 to 64 letters, digits, '.', '_' or '-'",
		Help: "Failure domain that the host belongs to.",
		set:  func(s *Settings, t string) bool { s.Node.FailureDomain = mesh.FailureDomain(t); return isName(t) },
	},
	{
		Section: "node", Name: "drain-limit", Default: "0s", Expected: "a duration of 0 or more, such as 10m",
		Help: "Longest duration of a graceful shutdown; 0s waits for every call in flight without a limit.",
		set:  duration(func(s *Settings) *time.Duration { return &s.Node.DrainLimit }, 0, 24*time.Hour),
	},
	{
		Section: "listen", Name: "peer", Required: true, Expected: addressExpected,
		Help: "Address for links from other nodes.",
		set:  address(func(s *Settings) *string { return &s.Listen.Peer }),
	},
	{
		Section: "listen", Name: "call", Required: true, Expected: addressExpected,
		Help: "Address on which other nodes send calls for this host's endpoints.",
		set:  address(func(s *Settings) *string { return &s.Listen.Call }),
	},
	{
		Section: "listen", Name: "entry", Required: true, Expected: addressExpected,
		Help: "Address for callers, and for the nested calls of this host's endpoints.",
		set:  address(func(s *Settings) *string { return &s.Listen.Entry }),
	},
	{
		Section: "listen", Name: "operator", Required: true, Expected: addressExpected,
		Help: "Address of the operator API, the metrics and the OpenAPI document.",
		set:  address(func(s *Settings) *string { return &s.Listen.Operator }),
	},
	{
		Section: "listen", Name: "endpoints", Required: true, Expected: "a loopback IP address with a port, such as 127.0.0.1:7405",
		Help: "Loopback address on which endpoints announce themselves.",
		set: func(s *Settings, t string) bool {
			s.Listen.Endpoints = t
			a, err := netip.ParseAddrPort(t)
			return err == nil && a.Addr().IsLoopback()
		},
	},
	{
		Section: "peers", Name: "seeds", Expected: "IP addresses with ports, separated by commas",
		Help: "Peer addresses that the node dials in turn while it has no peer. They are needed while the platform's service is unavailable.",
		set:  setSeeds,
	},
	{
		Section: "store", Name: "adapter", Default: "http", Expected: "the name of a registered adapter, such as http",
		Help: "Adapter for the platform's service.",
		set:  func(s *Settings, t string) bool { s.Store.Adapter = t; return isName(t) },
	},
	{
		Section: "store", Name: "address", Required: true, Expected: addressExpected,
		Help: "Address of the platform's service.",
		set:  address(func(s *Settings) *string { return &s.Store.Address }),
	},
	{
		Section: "store", Name: "timeout", Default: "2s", Expected: "a duration from 10ms to 1m",
		Help: "Longest wait for one call to the platform's service when idempotency keys are claimed.",
		set:  duration(func(s *Settings) *time.Duration { return &s.Store.Timeout }, 10*time.Millisecond, time.Minute),
	},
	{
		Section: "limits", Name: "connections", Default: "1024", Expected: "a whole number from 16 to 65536",
		Help: "Connections of callers that may be open, a quarter of the files that the process may open at most. Idle connections are closed for new ones, then those whose caller has done nothing for 1 s.",
		set: func(s *Settings, t string) bool {
			n, err := strconv.Atoi(t)
			s.Limits.Connections = n
			return err == nil && n >= 16 && n <= 1<<16
		},
	},
	{
		Section: "limits", Name: "body-mb", Default: "256", Expected: "a whole number from 1 to 1048576",
		Help: "Longest body of a request in MiB; a longer one gets status 413. Bodies of keyed calls have at most 1 MiB.",
		set: func(s *Settings, t string) bool {
			n, err := strconv.ParseInt(t, 10, 64)
			s.Limits.BodyBytes = n << 20
			return err == nil && n >= 1 && n <= 1<<20
		},
	},
	{
		Section: "log", Name: "level", Default: "info", Expected: "trace, debug, info, warn or error",
		Help: "Lowest level that is logged to standard error.",
		set: func(s *Settings, t string) bool {
			s.Log.Level = t
			return isOneOf(t, "trace", "debug", "info", "warn", "error")
		},
	},
	{
		Section: "log", Name: "format", Default: "json", Expected: "json or text",
		Help: "Format of the log lines.",
		set:  func(s *Settings, t string) bool { s.Log.JSON = t == "json"; return isOneOf(t, "json", "text") },
	},
	{
		Section: "membership", Name: "ping-interval", Default: "1s", Expected: "a duration from 100ms to 1m",
		Help: "Time between pings on a monitored link.",
		set:  duration(func(s *Settings) *time.Duration { return &s.Membership.PingInterval }, 100*time.Millisecond, time.Minute),
	},
	{
		Section: "membership", Name: "suspicion-timeout", Default: "3s", Expected: "a duration from 200ms to 5m",
		Help: "Time in which a suspect host can refute before it is declared dead.",
		set:  duration(func(s *Settings) *time.Duration { return &s.Membership.SuspicionTimeout }, 200*time.Millisecond, 5*time.Minute),
	},
	{
		Section: "membership", Name: "digest-interval", Default: "10s", Expected: "a duration from 500ms to 10m",
		Help: "Mean time between comparisons of the member table with a peer.",
		set:  duration(func(s *Settings) *time.Duration { return &s.Membership.DigestInterval }, 500*time.Millisecond, 10*time.Minute),
	},
	{
		Section: "retry", Name: "budget-share", Default: "0.1", Expected: "a number from 0.001 to 1",
		Help: "Retries allowed per call.",
		set:  number(func(s *Settings) *float64 { return &s.Retry.BudgetShare }, 0.001, 1),
	},
	{
		Section: "selection", Name: "max-ejected-share", Default: "0.5", Expected: "a number from 0.01 to 1",
		Help: "Largest share of a service's endpoints that outlier ejection removes.",
		set:  number(func(s *Settings) *float64 { return &s.Selection.MaxEjectedShare }, 0.01, 1),
	},
	{
		Section: "claims", Name: "retention", Default: "24h", Expected: "a duration from 1m to 168h",
		Help: "Age up to which an idempotency key is accepted.",
		set:  duration(func(s *Settings) *time.Duration { return &s.Claims.Retention }, time.Minute, 168*time.Hour),
	},
	{
		Section: "claims", Name: "batch-interval", Default: "250ms", Expected: "a duration from 1ms to 1s",
		Help: "Shortest time between two writes of a shard of idempotency keys.",
		set:  duration(func(s *Settings) *time.Duration { return &s.Claims.BatchInterval }, time.Millisecond, time.Second),
	},
}

const addressExpected = "an IP address with a port, such as 10.0.0.1:7401; host names are not accepted"

const maxNameBytes = 64

func isName(t string) bool {
	if t == "" || len(t) > maxNameBytes {
		return false
	}
	return strings.Trim(t, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == ""
}

func isOneOf(t string, accepted ...string) bool {
	for _, a := range accepted {
		if t == a {
			return true
		}
	}
	return false
}

func address(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		*field(s) = t
		_, err := netip.ParseAddrPort(t)
		return err == nil
	}
}

func duration(field func(*Settings) *time.Duration, minValue, maxValue time.Duration) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		d, err := time.ParseDuration(t)
		*field(s) = d
		return err == nil && d >= minValue && d <= maxValue
	}
}

func number(field func(*Settings) *float64, minValue, maxValue float64) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		f, err := strconv.ParseFloat(t, 64)
		*field(s) = f
		return err == nil && f >= minValue && f <= maxValue
	}
}

func setSeeds(s *Settings, t string) bool {
	s.Peers.Seeds = nil
	for _, seed := range strings.Split(t, ",") {
		seed = strings.TrimSpace(seed)
		if seed == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return false
		}
		s.Peers.Seeds = append(s.Peers.Seeds, seed)
	}
	return true
}

// Reference returns the reference page of the settings in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the descriptions in package settings; a test compares this page with them. " +
		"Lines that begin with `#` or `;` are comments; comments after a value and quoted values are not supported.\n")
	section := ""
	for _, k := range keys {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | expected | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		value := "`" + k.Default + "`"
		if k.Required {
			value = "required"
		} else if k.Default == "" {
			value = "none"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, value, k.Expected, k.Help)
	}
	return b.String()
}
