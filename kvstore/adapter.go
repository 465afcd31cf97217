package kvstore

import (
	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/registry"
)

// ErrUnknownAdapter means that no adapter is registered under a name.
var ErrUnknownAdapter = errors.New("kvstore: unknown store adapter")

// OpenFunc connects an adapter to the service at address. The form of the
// address is defined by the adapter. It makes no call to the service, so that a
// node can start while the service is unavailable.
type OpenFunc func(address string) (Store, error)

var adapters = registry.New[string, OpenFunc]("store adapter")

// RegisterAdapter makes an adapter available to Open. It panics when the name
// is taken.
func RegisterAdapter(name string, open func(address string) (Store, error)) {
	adapters.Add(name, open)
}

// Adapters returns the names of all adapters in order.
func Adapters() []string { return adapters.IDs() }

// Open returns a Store of the named adapter.
func Open(name, address string) (Store, error) {
	open, known := adapters.Get(name)
	if !known {
		return nil, errors.Wrapf(ErrUnknownAdapter, "%q, known: %v", name, Adapters())
	}
	store, err := open(address)
	return store, errors.Wrapf(err, "kvstore: open %s store", name)
}
