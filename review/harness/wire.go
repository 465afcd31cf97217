package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds names of the platform's protocols. They are data, because the source files
// outside package platform hold none.
var wire = func() (names struct {
	// Names of headers.
	RequestID, Stamp, NotExecuted, ExpectInstance, InstanceID, CallerService, Deadline, ServerLoad string
	// RouteKind is the field of a route that says what may be repeated.
	RouteKind string
	// Heartbeat is the format of a heartbeat: address, start, service, zone, slots, state and
	// sequence.
	Heartbeat string
},
) {
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()
