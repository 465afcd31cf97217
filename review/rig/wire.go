package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the names of PROTOCOL.md, which the project's tests allow in Go files of its
// adapter only.
var wire = readWire()

type wireNames struct {
	RequestID, Deadline, Stamp, ExpectInstance, InstanceID, CallerService, NotExecuted      string
	RouteType, ColdRemaining                                                                string
	Readiness, StoreKey, StoreRange, StoreTransaction, StoreLease, StoreKeep, StoreLeaseEnd string
}

func readWire() wireNames {
	var names wireNames
	check(json.Unmarshal(wireText, &names))
	return names
}
