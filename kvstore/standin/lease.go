package standin

import (
	"encoding/json"
	"net/http"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/wire"
)

func (s *server) acquire(w http.ResponseWriter, r *http.Request) {
	requested, ok := decodeLease(w, r)
	if !ok {
		return
	}
	lease, err := s.store.AcquireLease(r.Context(), requested.Name, requested.Holder, requested.TTL)
	if s.writeError(w, r, err) {
		return
	}
	writeJSON(w, wire.Lease(lease))
}

func (s *server) renew(w http.ResponseWriter, r *http.Request) {
	lease, ok := decodeLease(w, r)
	if !ok || s.writeError(w, r, s.store.RenewLease(r.Context(), lease)) {
		return
	}
	w.Header().Set(wire.HeaderResult, wire.ResultOK)
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	lease, ok := decodeLease(w, r)
	if !ok || s.writeError(w, r, s.store.ReleaseLease(r.Context(), lease)) {
		return
	}
	w.Header().Set(wire.HeaderResult, wire.ResultOK)
}

func decodeLease(w http.ResponseWriter, r *http.Request) (kvstore.Lease, bool) {
	var lease wire.Lease
	if err := json.NewDecoder(r.Body).Decode(&lease); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return kvstore.Lease{}, false
	}
	return kvstore.Lease(lease), true
}
