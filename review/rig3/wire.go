package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the names of PROTOCOL.md. The project's tests allow them in the Go files of its
// adapter only.
var wire = readWire()

type wireNames struct {
	RequestID, Deadline, Stamp, ExpectInstance, InstanceID, NotExecuted, Credential string
	RouteType, ColdRemaining, Readiness                                             string
}

func readWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireText, &names); err != nil {
		abandon(err)
	}
	return names
}
