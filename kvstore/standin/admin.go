package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
)

// Paths of the requests that the stand-in adds to those of the service.
const (
	PathCounters      = "/admin/counters"
	PathFaults        = "/admin/faults"
	PathLoseResponses = "/admin/lose-answers"
	PathDelayWrites   = "/admin/delay-writes"
	PathRewind        = "/admin/rewind"
	PathExpireLeases  = "/admin/lapse-leases"
)

// Counters is the response body of GET PathCounters.
type Counters struct {
	// Calls holds the calls since the start by the name of their kind.
	Calls          map[string]uint64 `json:"calls"`
	WaitingWatches int               `json:"waitingWatches"`
	PeakPerSecond  uint64            `json:"peakPerSecond"`
}

// Writes is the body of the POST requests that concern a number of writes. Delay
// is used by PathDelayWrites only.
type Writes struct {
	Count int           `json:"count"`
	Delay time.Duration `json:"delayNs,omitempty"`
}

func (s *server) addAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathCounters, s.counters)
	mux.HandleFunc("GET "+PathFaults, s.readFaults)
	mux.HandleFunc("PATCH "+PathFaults, s.patchFaults)
	mux.HandleFunc("POST "+PathLoseResponses, s.writesHandler(func(body Writes) {
		s.store.LoseNextResponses(body.Count)
	}))
	mux.HandleFunc("POST "+PathDelayWrites, s.writesHandler(func(body Writes) {
		s.store.DelayNextWrites(body.Count, body.Delay)
	}))
	mux.HandleFunc("POST "+PathRewind, s.writesHandler(func(body Writes) {
		s.store.RewindWrites(body.Count)
	}))
	mux.HandleFunc("POST "+PathExpireLeases, func(http.ResponseWriter, *http.Request) {
		s.store.ExpireLeases()
		eventFaults.Log(s.logger, "path", PathExpireLeases)
	})
}

func (s *server) counters(w http.ResponseWriter, _ *http.Request) {
	counts := s.store.Counts()
	response := Counters{
		Calls:          map[string]uint64{},
		WaitingWatches: counts.WaitingWatches,
		PeakPerSecond:  counts.PeakPerSecond,
	}
	for kind, n := range counts.ByKind {
		response.Calls[kvstore.CallKind(kind).String()] = n
	}
	writeJSON(w, response)
}

func (s *server) readFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.store.Faults())
}

// patchFaults changes the faults in the body and keeps the others.
func (s *server) patchFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := decode[json.RawMessage](w, r)
	if !ok {
		return
	}
	var err error
	s.store.UpdateFaults(func(f *memory.Faults) {
		changed := *f
		if err = json.Unmarshal(body, &changed); err == nil {
			*f = changed
		}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	eventFaults.Log(s.logger, "faults", s.store.Faults())
	writeJSON(w, s.store.Faults())
}

// writesHandler returns a handler that passes the decoded body to apply.
func (s *server) writesHandler(apply func(Writes)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := decode[Writes](w, r)
		if !ok {
			return
		}
		apply(body)
		eventFaults.Log(s.logger, "path", r.URL.Path, "count", body.Count, "delay", body.Delay)
	}
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	return body, true
}
