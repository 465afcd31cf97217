// Package operator serves the operators' HTTP API of a node and contains its
// client. The API accesses the store through package authority and the serving
// node through the Node interface. It keeps no state of its own.
package operator

import (
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// ErrCallNotFound means that the node has no record of the call, or no longer.
var ErrCallNotFound = errors.New("operator: the node has no record of this call")

// Node is the node that serves the API.
type Node interface {
	// Status returns the state of the node. It must not depend on the store.
	Status() NodeStatus
	// Explain returns the node's decisions about a call, or ErrCallNotFound.
	Explain(call mesh.CallID) (Explanation, error)
	// Drain starts a graceful stop and returns immediately.
	Drain() error
	// Version returns the active version, nil while the node has none.
	Version() *lists.Version
}

// NodeStatus is the state of a node at one moment.
type NodeStatus struct {
	Host   mesh.HostID        `json:"host"`
	Domain mesh.FailureDomain `json:"domain"`
	// State is starting, running or draining.
	State   string         `json:"state"`
	Version mesh.VersionID `json:"version"`
	// Since is the time at which the version arrived, From the host that sent it;
	// an empty host stands for the store.
	Since time.Time   `json:"since"`
	From  mesh.HostID `json:"from,omitempty"`
	// Lag is the reason why the node may lack the latest version, if it knows one.
	Lag string `json:"lag,omitempty"`
	// Rejected is the reason why the node rejected the last newer version, if it
	// did.
	Rejected string `json:"rejected,omitempty"`
	// StoreRolledBack is set while the store holds an older version than the node,
	// or another one with the same sequence.
	StoreRolledBack bool `json:"storeBehind"`
	// Domains are the failure domains of all live hosts that the node knows.
	Domains []mesh.FailureDomain `json:"domains"`
	// Hosts, Endpoints and Links count live hosts, their endpoints and the links
	// of this node.
	Hosts     int `json:"hosts"`
	Endpoints int `json:"endpoints"`
	Links     int `json:"links"`
	// CallsInFlight counts the calls in flight at this node's entry and gates.
	CallsInFlight int `json:"callsInFlight"`
}

// Explanation is the node's record of why a call was routed, queued or rejected.
type Explanation struct {
	Call     mesh.CallID     `json:"call"`
	Root     mesh.CallID     `json:"root,omitempty"`
	Customer mesh.CustomerID `json:"customer,omitempty"`
	Route    mesh.RouteName  `json:"route,omitempty"`
	Rank     string          `json:"rank,omitempty"`
	// Sequence is the version of the lists that the decisions are based on.
	Sequence mesh.Sequence `json:"sequence"`
	Outcome  mesh.Outcome  `json:"outcome,omitempty"`
	Reason   mesh.Reason   `json:"reason,omitempty"`
	Steps    []ExplainStep `json:"steps"`
}

// ExplainStep is one decision about a call.
type ExplainStep struct {
	Time time.Time `json:"time"`
	// Component is the component that decided, for example admission or gate.
	Component string `json:"component"`
	Decision  string `json:"decision"`
	Detail    string `json:"detail,omitempty"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Node NodeStatus `json:"node"`
	// Store is the accepted version in the store; zero when StoreError is set.
	Store mesh.VersionID `json:"store"`
	// StoreError is the reason why the store could not be read.
	StoreError string `json:"storeError,omitempty"`
	// Domains are the convergence summaries of the failure domains.
	Domains []authority.Summary `json:"domains"`
}

// ListsText holds both lists in their text format. Each text begins with a
// comment that names the version; apply uses it as the base of the edits.
type ListsText struct {
	Version    mesh.VersionID `json:"version" required:"false"`
	Plans      string         `json:"plans"`
	Allowances string         `json:"allowances"`
}

// Validation is the response to POST /v1/validate for valid lists.
type Validation struct {
	Entries int         `json:"entries"`
	Digest  mesh.Digest `json:"digest"`
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	ChangeID mesh.ChangeID `json:"changeId" minLength:"1" maxLength:"64" doc:"Repeat a change with the same ID after an unknown outcome"`
	Author   string        `json:"author"`
	Comment  string        `json:"comment,omitempty"`
	Edits    []lists.Edit  `json:"edits"`
}

// RollbackRequest is the body of POST /v1/rollback.
type RollbackRequest struct {
	ChangeID mesh.ChangeID `json:"changeId" minLength:"1" maxLength:"64"`
	Author   string        `json:"author"`
	Comment  string        `json:"comment,omitempty"`
	To       mesh.Sequence `json:"to" minimum:"1"`
}

// RestoreRequest is the body of POST /v1/restore.
type RestoreRequest struct {
	Author  string `json:"author" minLength:"1" maxLength:"128"`
	Comment string `json:"comment,omitempty"`
}

// VersionInfo describes an accepted version.
type VersionInfo struct {
	Version    mesh.VersionID       `json:"version"`
	Kind       authority.RecordKind `json:"kind"`
	Change     mesh.ChangeID        `json:"change"`
	Author     string               `json:"author"`
	Time       time.Time            `json:"time"`
	Comment    string               `json:"comment,omitempty"`
	RollbackTo mesh.Sequence        `json:"rollbackTo,omitempty"`
	// Edits is the number of edited entries.
	Edits int `json:"edits"`
}

// Audit is the response to GET /v1/audit, latest first.
type Audit struct {
	Accepted []authority.Record  `json:"accepted"`
	Refused  []authority.Refusal `json:"refused"`
}
