package ingress

import "geraniumnotch.example/geraniumnotch/mesh"

// Versions says which software versions of a service calls may go to while a new one is
// brought in. Its methods are safe for concurrent use.
type Versions interface {
	// Choose decides for the next call to the service. The returned function reports
	// whether the call may go to endpoints of a version; nil allows all. It is asked once
	// for each call, whose attempts all follow it.
	Choose(service mesh.ServiceName) func(software string) bool
}
