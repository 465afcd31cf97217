package hostnode

import (
	"io"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/platform"
)

const (
	// maxAnnouncementBytes limits the body of an announcement; a valid one has about
	// 300 bytes.
	maxAnnouncementBytes = 16 << 10
	// controlReadTimeout limits the time to read a request of the platform or the
	// endpoint.
	controlReadTimeout = 5 * time.Second
)

// announcementServer returns the server for the announcements of the endpoint.
func (n *Node) announcementServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathHeartbeat, n.onHeartbeat)
	mux.HandleFunc(platform.PathDeregister, n.onDeregister)
	return &http.Server{Handler: mux, ReadTimeout: controlReadTimeout}
}

func (n *Node) onHeartbeat(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, "body incomplete", http.StatusBadRequest)
		return
	}
	a, err := platform.DecodeHeartbeat(id, body)
	if err != nil {
		eventAnnouncementRejected.Log(n.logger, "endpoint", id, "error", err)
		http.Error(w, "malformed announcement", http.StatusBadRequest)
		return
	}
	if n.announce(a) == localendpoint.Deferred {
		n.signalHealthCheck()
	}
	if a.Draining {
		n.saveDepartures(r.Context())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(platform.HeartbeatResponse) // The endpoint sends the request again when it gets no response.
}

// announce applies an announcement.
func (n *Node) announce(a localendpoint.Announcement) localendpoint.AnnounceResult {
	result := n.registration.Announce(a)
	if result == localendpoint.Mismatched {
		// The settings file may have changed without a signal.
		n.reload()
		result = n.registration.Announce(a)
	}
	switch result {
	case localendpoint.Mismatched:
		eventAnnouncementRejected.Log(n.logger, "endpoint", a.ID, "service", a.Service, "address", a.Address, "error", "not the endpoint beside this node")
	case localendpoint.Renewed:
	default:
		eventAnnouncement.Log(n.logger, "endpoint", a.ID, "service", a.Service, "verdict", result, "started_at_ms", a.StartedAtMs, "sequence", a.Sequence, "slots", a.Slots, "leaving", a.Draining)
	}
	return result
}

func (n *Node) onDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, "body incomplete", http.StatusBadRequest)
		return
	}
	if !platform.IsEndpointID(id) {
		eventAnnouncementRejected.Log(n.logger, "endpoint", id, "error", "malformed ID")
		http.Error(w, "malformed ID", http.StatusBadRequest)
		return
	}
	startedAtMs := platform.DecodeDeregister(body)
	inUse := n.registration.Deregister(mesh.EndpointID(id), startedAtMs)
	eventAnnouncement.Log(n.logger, "endpoint", id, "verdict", "deregistered", "started_at_ms", startedAtMs, "in_use", inUse)
	n.saveDepartures(r.Context())
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(platform.HeartbeatResponse) // The endpoint sends the request again when it gets no response.
}

// readyServer returns the server that tells the platform whether clients may send
// calls.
func (n *Node) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadTimeout: controlReadTimeout}
}
