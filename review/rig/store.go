package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	// down makes the store silent: it accepts connections and answers nothing.
	down atomic.Bool
	// delay is how long each answer takes, in milliseconds.
	delay atomic.Int64

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	leases   map[uint64]storeLease
}

type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created-rev"`
	LeaseID    uint64 `json:"lease-id"`
}

type storeLease struct {
	end      time.Time
	lifetime time.Duration
}

func newStore() *store {
	s := &store{revision: 400, items: map[string]storeItem{}, leases: map[uint64]storeLease{}}
	s.delay.Store(4)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.StoreKey, s.key)
	mux.HandleFunc("GET "+wire.StoreRange, s.list)
	mux.HandleFunc("POST "+wire.StoreTransaction, s.transaction)
	mux.HandleFunc("POST "+wire.StoreLease, s.grant)
	mux.HandleFunc("POST "+wire.StoreKeep+"{id}", s.keep)
	mux.HandleFunc("DELETE "+wire.StoreLeaseEnd+"{id}", s.end)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.delay.Load()) * time.Millisecond)
		if s.down.Load() {
			<-r.Context().Done() // Silent: the caller gives up.
			return
		}
		mux.ServeHTTP(w, r)
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // Ends with the process.
	return s
}

// write writes a key as the operator does.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	s.items[key] = storeItem{Key: key, Value: value, Revision: s.revision, CreatedRev: created, LeaseID: lease}
}

// expire removes the leases that have ended. The caller holds the lock.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.LeaseID == id {
			delete(s.items, key)
			s.revision++
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller sees a truncated answer.
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at-rev": s.revision})
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	found := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": found, "has-more": false, "at-rev": s.revision})
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID uint64 `json:"lease-id"`
		} `json:"puts"`
		DeleteKeys []string `json:"delete-keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, differs := []storeItem{}, false
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		differs = differs || i.Revision != e.Revision
	}
	if differs {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current, "at-rev": s.revision})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.LeaseID]; p.LeaseID != 0 && !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range t.DeleteKeys {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.revision++
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTLMs int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	lifetime := time.Duration(l.TTLMs) * time.Millisecond
	s.leases[s.revision] = storeLease{end: time.Now().Add(lifetime), lifetime: lifetime}
	answer(w, http.StatusOK, map[string]any{"lease-id": s.revision, "ttl-ms": l.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // No lease has the number 0.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, nil)
		return
	}
	l.end = time.Now().Add(l.lifetime)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]any{"ttl-ms": l.lifetime.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // No lease has the number 0.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
