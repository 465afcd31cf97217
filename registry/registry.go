// Package registry holds values that packages register under a unique ID when the
// program starts: plug-ins, log events, store adapters, commands and experiments.
package registry

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/samber/lo"
)

// Registry maps IDs to values. It is safe for concurrent use.
type Registry[K cmp.Ordered, V any] struct {
	kind string
	mu   sync.RWMutex
	byID map[K]V
}

// New returns an empty registry. Kind names the values in panics.
func New[K cmp.Ordered, V any](kind string) *Registry[K, V] {
	return &Registry[K, V]{kind: kind, byID: map[K]V{}}
}

// Add registers a value. It panics when the ID is taken, because that is an error
// in the program and not in its settings.
func (r *Registry[K, V]) Add(id K, value V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.byID[id]; taken {
		panic(fmt.Sprintf("registry: %s %v registered twice", r.kind, id))
	}
	r.byID[id] = value
}

// Get returns the value with the ID.
func (r *Registry[K, V]) Get(id K) (V, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	value, found := r.byID[id]
	return value, found
}

// IDs returns all IDs in order.
func (r *Registry[K, V]) IDs() []K {
	r.mu.RLock()
	defer r.mu.RUnlock()
	ids := lo.Keys(r.byID)
	slices.Sort(ids)
	return ids
}

// All returns all values in the order of their IDs.
func (r *Registry[K, V]) All() []V {
	ids := r.IDs()
	r.mu.RLock()
	defer r.mu.RUnlock()
	return lo.Map(ids, func(id K, _ int) V { return r.byID[id] })
}
