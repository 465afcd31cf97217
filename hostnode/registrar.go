package hostnode

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/platform"
)

const (
	// hostsPrefix is the prefix of the keys of host records.
	hostsPrefix = "geraniumnotch/hosts/"
	// leaseLifetime limits how long the record of a dead host stays in the store. The
	// other hosts notice a dead one by its link; the record only matters to hosts that
	// start.
	leaseLifetime = 60 * time.Second
	// renewInterval leaves time for two further tries before the lease expires.
	renewInterval = 18 * time.Second
	// renewRetryInterval is the pause after a failed renewal.
	renewRetryInterval = 1200 * time.Millisecond
	// recoverySpread is the time over which hosts spread their renewals once the store
	// answers again. Together with the pause between failed reads of the plan it stays
	// within the two seconds after which a host without a record counts as missing.
	recoverySpread = 300 * time.Millisecond
	// recoveryWriteShare is the share of the store's write rate that hosts use when all
	// of them register again. The rest is for other writes and for hosts that do not
	// know each other.
	recoveryWriteShare = 0.8
	// renewalsPerList is the number of renewals for each read of all host records,
	// which finds hosts that started while this one was unreachable.
	renewalsPerList = 1
)

// registrar keeps the host's record in the store and reads those of other hosts.
type registrar struct {
	store    *platform.Store
	record   peers.Record
	logger   hclog.Logger
	addHosts func(...peers.Record)
	// storeRecovered signals that the store answers again or was restored from a copy.
	// Leases may have expired.
	storeRecovered chan struct{}
	// hostCount returns the number of hosts that share the store.
	hostCount func() int
	// hostsAhead returns the number of them that precede this host.
	hostsAhead func() int
	// writesPerSecond is the rate of writes of all hosts that the store accepts.
	writesPerSecond float64
	monitor         storeMonitor
	// departures writes the departures of the host's endpoints, and onDepartures is called
	// with those that the store has.
	departures   *departureWriter
	onDepartures func(departures.List)
	// listed is set once the host records have been read.
	listed atomic.Bool
	// currentListDue is set from a registration to the next list: a stale one may lack
	// hosts that registered meanwhile and have not found this host.
	currentListDue bool
}

func (r *registrar) run(ctx context.Context) {
	lease, renewals := platform.Lease{}, 0
	for ctx.Err() == nil {
		began := time.Now()
		err := r.update(ctx, &lease, renewals)
		if err == nil {
			err = r.writeDepartures(ctx, &lease)
		}
		r.monitor.observe(time.Since(began), err)
		pause := renewRetryInterval
		if err == nil {
			renewals++
			pause = renewInterval
		}
		r.waitForRenewal(ctx, jittered(pause), &lease)
	}
}

// waitForRenewal waits for d, or for the host's turn once the store has recovered. It
// writes departures meanwhile; if that fails, the renewal is due after renewRetryInterval.
func (r *registrar) waitForRenewal(ctx context.Context, d time.Duration, lease *platform.Lease) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-r.storeRecovered:
			sleep(ctx, r.recoveryDelay())
			return
		case <-r.departures.changed:
			if err := r.writeDepartures(ctx, lease); err != nil {
				timer.Reset(jittered(renewRetryInterval))
			}
		}
	}
}

// writeDepartures writes the departures that the store lacks. Without a lease, they are
// written after the registration.
func (r *registrar) writeDepartures(ctx context.Context, lease *platform.Lease) error {
	if *lease == (platform.Lease{}) {
		return nil
	}
	err := r.departures.write(ctx, r.store, r.key(), *lease)
	if errors.Is(err, platform.ErrStoreLeaseNotFound) {
		*lease = platform.Lease{}
	}
	return err
}

// recoveryDelay returns the host's turn in the recovery spread. Hosts that know each
// other have different turns.
func (r *registrar) recoveryDelay() time.Duration {
	hosts := float64(max(r.hostCount(), r.hostsAhead()+1))
	const writesPerHost = 2 // A host gets a lease and writes its record.
	seconds := min(hosts*writesPerHost/(recoveryWriteShare*r.writesPerSecond), renewInterval.Seconds())
	spread := max(recoverySpread, time.Duration(seconds*float64(time.Second)))
	return time.Duration((float64(r.hostsAhead()) + rand.Float64()) / hosts * float64(spread))
}

// signalStoreRecovered makes the next renewal due soon.
func (r *registrar) signalStoreRecovered() {
	select {
	case r.storeRecovered <- struct{}{}:
	default: // A renewal is due already.
	}
}

// update registers the host or renews its lease, and reads the records of the other
// hosts when that is due. The record is written before the others are read, so that
// of two hosts that start at the same time at least one finds the other.
func (r *registrar) update(ctx context.Context, lease *platform.Lease, round int) error {
	if *lease != (platform.Lease{}) {
		err := r.renew(ctx, *lease)
		if errors.Is(err, platform.ErrStoreLeaseNotFound) {
			*lease = platform.Lease{}
		} else if err != nil {
			return err
		}
	}
	if *lease == (platform.Lease{}) {
		granted, err := r.register(ctx)
		if err != nil && !r.listed.Load() {
			// The other hosts may have a newer plan. They are read again after the
			// registration.
			_, listErr := r.list(ctx, platform.Lease{}, false)
			return errors.CombineErrors(err, listErr)
		}
		if err != nil {
			return err
		}
		*lease, r.currentListDue = granted, true
	}
	if !r.currentListDue && round%renewalsPerList != 0 {
		return nil
	}
	isRecorded, err := r.list(ctx, *lease, !r.currentListDue)
	if err != nil || isRecorded {
		return err
	}
	// An earlier write that got no answer may have been executed since, under a lease
	// that ends sooner.
	eventRecordReplaced.Log(r.logger, "lease", lease.ID, "epoch", lease.Epoch)
	err = r.put(ctx, *lease)
	if errors.Is(err, platform.ErrStoreLeaseNotFound) {
		*lease = platform.Lease{}
	}
	return err
}

func (r *registrar) renew(ctx context.Context, lease platform.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return r.store.Renew(ctx, lease)
}

func (r *registrar) register(ctx context.Context) (platform.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	lease, _, err := r.store.Grant(ctx, leaseLifetime)
	if err != nil {
		return platform.Lease{}, err
	}
	if err := r.put(ctx, lease); err != nil {
		return platform.Lease{}, err
	}
	eventRegistered.Log(r.logger, "lease", lease.ID, "epoch", lease.Epoch)
	return lease, nil
}

func (r *registrar) put(ctx context.Context, lease platform.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	value, err := peers.EncodeRecord(r.record)
	if err != nil {
		return err
	}
	return r.store.Put(ctx, r.key(), value, lease)
}

func (r *registrar) key() string { return hostsPrefix + string(r.record.Host) }

// list reads the records of all hosts. It reports whether this host's own one is there,
// under the lease.
func (r *registrar) list(ctx context.Context, lease platform.Lease, stale bool) (isRecorded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	items, err := r.store.List(ctx, hostsPrefix, stale)
	if err != nil {
		return false, err
	}
	departed, recordItems := departureItems(r.key(), items, r.logger)
	records := make([]peers.Record, 0, len(recordItems))
	for _, item := range recordItems {
		record, err := peers.DecodeRecord(item.Value)
		if err != nil || string(record.Host) != strings.TrimPrefix(item.Key, hostsPrefix) {
			eventRecordMalformed.Log(r.logger, "key", item.Key, "error", err)
			continue
		}
		records = append(records, record)
		if item.Key == r.key() {
			isRecorded = item.Lease == lease && record == r.record
		}
	}
	r.addHosts(records...)
	r.onDepartures(departed)
	r.listed.Store(true)
	r.currentListDue = false
	return isRecorded, nil
}
