package endpoints

import (
	"encoding/json"
	"math"
	"net/http"
	"net/netip"
	"strconv"

	"geraniumnotch.example/geraniumnotch/mesh"

	"github.com/cockroachdb/errors"
)

// Status is the API's representation of an endpoint.
type Status struct {
	ID           mesh.EndpointID `json:"id"`
	Announcement Announcement    `json:"announcement"`
	Draining     bool            `json:"draining"`
	InUse        int             `json:"inUse"`
	Queued       int             `json:"queued"`
	// TTLMs is the time in milliseconds within which the endpoint must renew its
	// announcement.
	TTLMs int64 `json:"ttlMs"`
}

// problem is the body of an error response, in the form of RFC 9457.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// Handler returns the announcement API:
//
//	PUT    /v1/endpoints/{id}        announce, renew, report load
//	POST   /v1/endpoints/{id}/drain  accept no new calls
//	DELETE /v1/endpoints/{id}        withdraw
//	GET    /v1/endpoints             list
//
// Requests that do not come over loopback are rejected, whatever address the API
// listens on.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/endpoints/{id}", r.handleAnnounce)
	mux.HandleFunc("POST /v1/endpoints/{id}/drain", r.handleDrain)
	mux.HandleFunc("DELETE /v1/endpoints/{id}", r.handleWithdraw)
	mux.HandleFunc("GET /v1/endpoints", r.handleList)
	return loopbackOnly(mux)
}

func loopbackOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !peer.Addr().Unmap().IsLoopback() {
			writeProblem(w, http.StatusForbidden, "only endpoints of this host may announce themselves", "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (r *Registry) handleAnnounce(w http.ResponseWriter, req *http.Request) {
	id := mesh.EndpointID(req.PathValue("id"))
	if !isValidName(string(id)) {
		writeProblem(w, http.StatusBadRequest, "invalid endpoint ID", "want 1 to 64 letters, digits, '.', '_' or '-'")
		return
	}
	a, err := parseAnnouncement(req.Body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid announcement", err.Error())
		return
	}
	created, err := r.Announce(id, a)
	if err != nil {
		writeError(w, err)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
	}
	e, ok := r.Get(id)
	if !ok {
		writeError(w, ErrUnknown)
		return
	}
	writeJSON(w, status, e.status())
}

func (r *Registry) handleDrain(w http.ResponseWriter, req *http.Request) {
	if err := r.Drain(mesh.EndpointID(req.PathValue("id"))); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) handleWithdraw(w http.ResponseWriter, req *http.Request) {
	if err := r.Withdraw(mesh.EndpointID(req.PathValue("id"))); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) handleList(w http.ResponseWriter, _ *http.Request) {
	all := []Status{}
	for _, e := range r.All() {
		all = append(all, e.status())
	}
	writeJSON(w, http.StatusOK, all)
}

func (e *Endpoint) status() Status {
	a, load := e.Announcement(), e.Gate.Load()
	return Status{
		ID: e.ID, Announcement: *a, Draining: e.Draining(),
		InUse: load.InUse, Queued: load.Queued, TTLMs: a.ttl().Milliseconds(),
	}
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrUnknown):
		writeProblem(w, http.StatusNotFound, "no such endpoint", err.Error())
	case errors.Is(err, ErrWithdrawn):
		writeWithdrawn(w, err)
	case errors.Is(err, ErrDraining):
		writeProblem(w, http.StatusServiceUnavailable, "host is draining", err.Error())
	default:
		writeProblem(w, http.StatusInternalServerError, "internal error", err.Error())
	}
}

// writeWithdrawn writes the error of an announcement that was sent before its process left.
func writeWithdrawn(w http.ResponseWriter, err error) {
	var left *withdrawnError
	if errors.As(err, &left) && left.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(left.retryAfter.Seconds()))))
	}
	writeProblem(w, http.StatusConflict, "process has withdrawn", err.Error()+"; a new process states another instance")
}

func writeProblem(w http.ResponseWriter, status int, title, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Title: title, Status: status, Detail: detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
