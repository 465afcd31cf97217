package hostnode

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/platform"
)

// departureSaveTimeout limits the time for which the acknowledgement of a departure waits
// for the store. The endpoint gets no calls meanwhile, and repeats an announcement that is
// not acknowledged within a second.
const departureSaveTimeout = 300 * time.Millisecond

// departedInfix follows the key of a host's record in the keys of its departures.
const departedInfix = "/departed/"

// departureKey returns the key of a departure. Each has a key of its own, so that a late
// write does not replace another departure.
func departureKey(hostKey string, d departures.Departure) string {
	id := sha256.Sum256([]byte(d.ID))
	return fmt.Sprintf("%s%s%x-%d", hostKey, departedInfix, id[:8], d.StartedAtMs)
}

// departureItems returns the departures of the host with the given key among items of the
// store, and the items that are not departures of any host.
func departureItems(hostKey string, items []platform.Item, logger hclog.Logger) (own departures.List, rest []platform.Item) {
	for _, item := range items {
		if !strings.Contains(item.Key, departedInfix) {
			rest = append(rest, item)
			continue
		}
		if !strings.HasPrefix(item.Key, hostKey+departedInfix) {
			continue
		}
		var d departures.Departure
		if err := cbor.Unmarshal(item.Value, &d); err != nil {
			eventRecordMalformed.Log(logger, "key", item.Key, "error", err)
			continue
		}
		own = append(own, d)
	}
	return own, rest
}

// departureWriter keeps the departures that this process acknowledges in the store, for
// the next process of the host. It writes them under the lease of the host's record, which
// outlives this process by less than leaseLifetime: the store forgets them with the lease,
// as announcements are only seconds late.
type departureWriter struct {
	// list returns the latest departures that this process knows.
	list func() departures.List
	// changed signals that there may be departures to write.
	changed chan struct{}

	mu sync.Mutex
	// learned are those that this process has not acknowledged: the store or other hosts
	// keep them.
	learned departures.List
	// written are those in the store under lease.
	written departures.List
	lease   platform.Lease
	// progress is closed and replaced when written or learned changes.
	progress chan struct{}
}

func newDepartureWriter(list func() departures.List) *departureWriter {
	return &departureWriter{list: list, changed: make(chan struct{}, 1), progress: make(chan struct{})}
}

// signal has the departures written soon.
func (w *departureWriter) signal() {
	select {
	case w.changed <- struct{}{}:
	default: // A write is due already.
	}
}

// unwritten returns the departures to write, and a channel that is closed when that may
// have changed.
func (w *departureWriter) unwritten() (departures.List, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list().Without(w.learned).Without(w.written), w.progress
}

// recordLearned records departures that need not be written.
func (w *departureWriter) recordLearned(known departures.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learned = w.learned.Add(2*departures.MaxShared, known...)
	w.notify()
}

// notify wakes up those that wait in await. The caller holds the lock.
func (w *departureWriter) notify() {
	close(w.progress)
	w.progress = make(chan struct{})
}

// await waits until all departures are written. It reports false if ctx ended before.
func (w *departureWriter) await(ctx context.Context) bool {
	for {
		rest, progress := w.unwritten()
		if len(rest) == 0 {
			return true
		}
		w.signal()
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}

// write writes the departures that are not in the store under the lease.
func (w *departureWriter) write(ctx context.Context, store *platform.Store, hostKey string, lease platform.Lease) error {
	w.mu.Lock()
	if w.lease != lease {
		w.lease, w.written = lease, nil
	}
	w.mu.Unlock()
	rest, _ := w.unwritten()
	if len(rest) == 0 {
		return nil
	}
	entries := make([]platform.Entry, 0, len(rest))
	for _, d := range rest {
		value, err := cbor.Marshal(d)
		if err != nil {
			return err
		}
		entries = append(entries, platform.Entry{Key: departureKey(hostKey, d), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := store.PutAll(ctx, entries, lease); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = w.written.Add(2*departures.MaxShared, rest...)
	w.notify()
	return nil
}

// saveDepartures waits until the store has the departures that are to be acknowledged, for
// departureSaveTimeout at most.
func (n *Node) saveDepartures(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureSaveTimeout)
	defer cancel()
	if !n.registrar.departures.await(ctx) {
		rest, _ := n.registrar.departures.unwritten()
		eventDepartureNotSaved.Log(n.logger, "endpoints", endpointIDs(rest))
	}
}

// learnDepartures records endpoints that have left as the store or another host knows it.
func (n *Node) learnDepartures(known departures.List, source string) {
	if added := n.registration.RecordDepartures(known); len(added) > 0 {
		n.registrar.departures.recordLearned(added)
		eventDeparturesLearned.Log(n.logger, "endpoints", endpointIDs(added), "source", source)
	}
}

func endpointIDs(l departures.List) []mesh.EndpointID {
	return lo.Map(l, func(d departures.Departure, _ int) mesh.EndpointID { return d.ID })
}
