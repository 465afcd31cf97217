package peers

import (
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

// DeltaRoundTrip returns the status as a peer with the base learns of it by a delta. It
// reports false if it cannot be sent as a delta to the base.
func DeltaRoundTrip(s, base Status) (Status, bool) {
	if !hasBase(&s, &base) {
		return Status{}, false
	}
	d := newStatusDelta(&s)
	return d.apply(&base), d.isValid()
}

// EncodeDelta returns the frame of a delta.
func EncodeDelta(s Status) ([]byte, error) {
	return transport.EncodeFrame(transport.KindHostStatusDelta, newStatusDelta(&s))
}

// ApplyDelta decodes a delta and applies it to a base.
func ApplyDelta(m transport.Message, base Status) (Status, error) {
	var d statusDelta
	if err := m.Decode(&d); err != nil {
		return Status{}, err
	}
	if !d.isValid() {
		return Status{}, errStatusDelta
	}
	return d.apply(&base), nil
}

// ReportsClasses is reportsClasses.
var ReportsClasses = reportsClasses

// SetEarlierProgram makes the directory treat a linked host as one whose program does not
// know workspaces.
func (d *Directory) SetEarlierProgram(host mesh.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[d.manager.Link(host)].knowsWorkspaces = false
}

// DecodeKeyedPlan is decodeKeyedPlan.
var DecodeKeyedPlan = decodeKeyedPlan

// EncodeKeyedPlan returns the body of the message with a plan with workspaces.
func EncodeKeyedPlan(d routeplan.Delta) []byte {
	frame, err := transport.EncodeFrame(transport.KindKeyedPlanValue, keyedPlan{Plan: d, Workspaces: d.Workspaces})
	if err != nil {
		panic(err)
	}
	m, err := transport.ParseFrame(frame)
	if err != nil {
		panic(err)
	}
	return m.Body
}
