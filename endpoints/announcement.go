package endpoints

import (
	"encoding/json"
	"io"
	"math"
	"net/netip"
	"strings"
	"time"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"

	"github.com/cockroachdb/errors"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 16 << 10
	// MaxConnections is the maximum number of connections to one endpoint.
	MaxConnections = 100
	// maxSlots bounds the slots that an endpoint may announce.
	maxSlots = 4096
	// maxNameBytes bounds the length of endpoint IDs and service names.
	maxNameBytes = 64
	// DefaultTTL is the time to live of an announcement that does not set one.
	DefaultTTL = 5 * time.Second
	minTTL     = 500 * time.Millisecond
	maxTTL     = 5 * time.Minute
	// maxColdStart bounds the announced cold-start time.
	maxColdStart = 30 * time.Minute
)

// ErrInvalid marks the error for an announcement that was rejected. The message
// lists every violation.
var ErrInvalid = errors.New("endpoints: invalid announcement")

// Announcement is the body of PUT /v1/endpoints/{id}. Durations are in
// milliseconds.
type Announcement struct {
	Service mesh.ServiceName `json:"service"`
	// Address is the loopback IP address and port that the endpoint serves on.
	Address string `json:"address"`
	// Slots is the number of calls that the endpoint executes at the same time.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts; zero means one
	// per slot.
	Connections int `json:"connections,omitempty"`
	ColdStartMs int `json:"coldStartMs,omitempty"`
	// TTLMs is how long the announcement is valid without a renewal; zero means
	// DefaultTTL.
	TTLMs int `json:"ttlMs,omitempty"`
	// Instance identifies the endpoint's process; it changes on a restart. A process that
	// has withdrawn does not come back. Without an instance, a successor at the same address
	// can announce itself when TTLMs has passed.
	Instance string `json:"instance,omitempty"`
	// EchoesCall states that every response carries the call ID of its request. A
	// response without it is then treated as belonging to another call.
	EchoesCall bool `json:"echoesCall,omitempty"`
	// HealthPath is a path that returns a status below 400 while the endpoint is
	// healthy.
	HealthPath string `json:"healthPath,omitempty"`
	// Load is the endpoint's own view of its load, 1 meaning full.
	Load float64 `json:"load"`
}

// parseAnnouncement decodes and validates an announcement. Its error is marked with
// ErrInvalid.
func parseAnnouncement(body io.Reader) (Announcement, error) {
	var a Announcement
	decoder := json.NewDecoder(io.LimitReader(body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, errors.Mark(errors.Wrap(err, "endpoints: decode announcement"), ErrInvalid)
	}
	if violations := a.validate(); len(violations) > 0 {
		return a, errors.Wrap(ErrInvalid, strings.Join(violations, "; "))
	}
	return a, nil
}

// validate returns a message for each field that is out of range.
func (a *Announcement) validate() []string {
	var violations []string
	check := func(ok bool, violation string) {
		if !ok {
			violations = append(violations, violation)
		}
	}
	address, err := netip.ParseAddrPort(a.Address)
	check(err == nil && address.Addr().IsLoopback() && address.Port() != 0, "address: want a loopback IP number with a port")
	check(isValidName(string(a.Service)), "service: want 1 to 64 letters, digits, '.', '_' or '-'")
	check(a.Slots >= 1 && a.Slots <= maxSlots, "slots: want 1 to 4096")
	check(a.Connections >= 0 && a.Connections <= math.MaxUint16, "connections: want 0 to 65535")
	check(a.ColdStartMs >= 0 && a.coldStart() <= maxColdStart, "coldStartMs: want 0 to 1800000")
	check(a.TTLMs == 0 || a.ttl() >= minTTL && a.ttl() <= maxTTL, "ttlMs: want 500 to 300000")
	check(a.Load >= 0 && !math.IsInf(a.Load, 0), "load: want a number of 0 or more")
	check(a.HealthPath == "" || strings.HasPrefix(a.HealthPath, "/"), "healthPath: want a path that starts with '/'")
	return violations
}

func isValidName(name string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
	return name != "" && len(name) <= maxNameBytes && strings.Trim(name, letters) == ""
}

func (a *Announcement) ttl() time.Duration {
	if a.TTLMs == 0 {
		return DefaultTTL
	}
	return time.Duration(a.TTLMs) * time.Millisecond
}

func (a *Announcement) coldStart() time.Duration {
	return time.Duration(a.ColdStartMs) * time.Millisecond
}

// MaxConns returns the maximum number of connections that the node may open to the
// endpoint.
func (a *Announcement) MaxConns() int {
	if a.Connections == 0 {
		return min(a.Slots, MaxConnections)
	}
	return min(a.Connections, MaxConnections)
}

// UsableSlots returns the number of slots, limited to one per connection, so that a
// call that holds a slot never waits for a connection.
func (a *Announcement) UsableSlots() int { return min(a.Slots, a.MaxConns()) }

// isRenewal reports whether next renews the announcement, that is, comes from the
// same process.
func (a *Announcement) isRenewal(next *Announcement) bool {
	return a.Address == next.Address && a.Service == next.Service && a.Instance == next.Instance
}

// record returns the endpoint's entry in the host's membership record.
func (a *Announcement) record(id mesh.EndpointID, state membership.EndpointState) membership.Endpoint {
	return membership.Endpoint{
		ID: id, Service: a.Service, State: state,
		Slots: uint16(a.UsableSlots()), Connections: uint16(a.MaxConns()),
		ColdStartMs: uint32(a.ColdStartMs),
	}
}
