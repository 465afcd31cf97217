// Package standin serves a memory store over HTTP instead of the platform's
// service, whose protocol is not known yet. Besides the calls of
// kvstore.Store it offers requests that read the call counters and set faults.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/kvstore/wire"
)

var (
	eventFaults = events.Define(1200, hclog.Info, "stand-in store: faults changed",
		"None; a test or an experiment changed the faults that the stand-in injects.")
	eventDropped = events.Define(1201, hclog.Debug, "stand-in store: connection closed without a response",
		"None; an injected fault lost the response, or the client disconnected.")
)

// server handles the calls of kvstore.Store.
type server struct {
	store  *memory.Store
	logger hclog.Logger
}

// New returns a handler that serves store. A nil logger discards the log.
func New(store *memory.Store, logger hclog.Logger) http.Handler {
	s := &server{store: store, logger: logger}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathKey, s.get)
	mux.HandleFunc("POST "+wire.PathKey, s.compareAndSwap)
	mux.HandleFunc("POST "+wire.PathDelete, s.deleteKey)
	mux.HandleFunc("GET "+wire.PathWatch, s.watch)
	mux.HandleFunc("GET "+wire.PathList, s.list)
	mux.HandleFunc("POST "+wire.PathAcquire, s.acquire)
	mux.HandleFunc("POST "+wire.PathRenew, s.renew)
	mux.HandleFunc("POST "+wire.PathRelease, s.release)
	s.addAdmin(mux)
	return mux
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.store.Get(r.Context(), r.FormValue(wire.ParamKey))
	if s.writeError(w, r, err) {
		return
	}
	writeEntry(w, entry)
}

func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	after, ok := revisionParam(w, r, wire.ParamAfter)
	if !ok {
		return
	}
	entry, err := s.store.Watch(r.Context(), r.FormValue(wire.ParamKey), after)
	if s.writeError(w, r, err) {
		return
	}
	writeEntry(w, entry)
}

func (s *server) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	// One byte more than allowed lets the store reject the value itself.
	value, err := io.ReadAll(io.LimitReader(r.Body, kvstore.MaxValueBytes+1))
	if err != nil {
		// The store has not been called, but the client's connection is broken.
		panic(http.ErrAbortHandler)
	}
	if value == nil {
		value = []byte{}
	}
	s.write(w, r, value)
}

func (s *server) deleteKey(w http.ResponseWriter, r *http.Request) { s.write(w, r, nil) }

func (s *server) write(w http.ResponseWriter, r *http.Request, value []byte) {
	expected, ok := revisionParam(w, r, wire.ParamExpected)
	if !ok {
		return
	}
	key := r.URL.Query().Get(wire.ParamKey)
	revision, err := s.store.CompareAndSwap(r.Context(), key, value, expected)
	if s.writeError(w, r, err) {
		return
	}
	setRevision(w, revision)
	w.Header().Set(wire.HeaderResult, wire.ResultOK)
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue(wire.ParamLimit))
	if err != nil {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	keys, err := s.store.List(r.Context(), r.FormValue(wire.ParamPrefix), limit)
	if s.writeError(w, r, err) {
		return
	}
	writeJSON(w, keys)
}

// writeError responds to a failed call and reports whether err is an error. A
// call whose effect must stay unknown to the client gets a closed connection
// instead of a response.
func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) bool {
	if err == nil {
		return false
	}
	code, status, ok := wire.CodeOf(err)
	if !ok {
		eventDropped.Log(s.logger, "path", r.URL.Path, "error", err)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.HeaderResult, code)
	http.Error(w, err.Error(), status)
	return true
}

func writeEntry(w http.ResponseWriter, entry kvstore.Entry) {
	setRevision(w, entry.Revision)
	w.Header().Set(wire.HeaderResult, wire.ResultOK)
	if entry.Value == nil {
		w.Header().Set(wire.HeaderResult, wire.ResultDeleted)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(entry.Value)))
	// A failed write means that the client disconnected.
	_, _ = w.Write(entry.Value)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set(wire.HeaderResult, wire.ResultOK)
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func setRevision(w http.ResponseWriter, revision kvstore.Revision) {
	w.Header().Set(wire.HeaderRevision, strconv.FormatUint(uint64(revision), 10))
}

func revisionParam(w http.ResponseWriter, r *http.Request, name string) (kvstore.Revision, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		http.Error(w, name+" is not a revision", http.StatusBadRequest)
		return 0, false
	}
	return kvstore.Revision(n), true
}
