package hostnode

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/platform"
)

const (
	// hostsPrefix is where hosts register.
	hostsPrefix = "geraniumnotch/hosts/"
	// leaseLifetime bounds how long the record of a dead host stays. Hosts notice
	// a dead one by its link; the record only matters to hosts that start.
	leaseLifetime = 60 * time.Second
	// renewInterval leaves time for two further attempts before the lease ends.
	renewInterval = 18 * time.Second
	// renewRetry is the pause after a failed renewal.
	renewRetry = 1200 * time.Millisecond
	// returnSpread is the time over which hosts renew once the store answers again.
	// Together with the pause between failed reads of the plan it stays within the
	// two seconds after which a missing record counts as gone.
	returnSpread = 300 * time.Millisecond
	// returnSpreadPerHost stretches it for many hosts: two writes each then stay
	// below 1,000 writes a second, which the stores of such deployments serve.
	returnSpreadPerHost = 2 * time.Millisecond
	// listEvery is the number of renewals between two reads of all hosts. They
	// find hosts that started while this one could not be reached.
	listEvery = 1
)

// registrar keeps the host's record in the store and reads those of others.
type registrar struct {
	store  *platform.Store
	record peers.Record
	logger hclog.Logger
	learn  func(...peers.Record)
	// returned signals that the store answers again. Leases may have ended.
	returned chan struct{}
	// hosts returns the number of hosts that share the store.
	hosts  func() int
	health dependency
	// listed is set once the hosts have been read.
	listed atomic.Bool
}

func (r *registrar) run(ctx context.Context) {
	lease, round := uint64(0), 0
	for ctx.Err() == nil {
		err := r.round(ctx, &lease, round)
		r.health.observe(err)
		pause := renewRetry
		if err == nil {
			round++
			pause = renewInterval
		}
		r.pause(ctx, jittered(pause))
	}
}

// pause waits until the next renewal is due.
func (r *registrar) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.returned:
		spread := max(returnSpread, time.Duration(r.hosts())*returnSpreadPerHost)
		sleep(ctx, rand.N(spread))
	}
}

// storeReturned makes the next renewal due soon.
func (r *registrar) storeReturned() {
	select {
	case r.returned <- struct{}{}:
	default: // A renewal is due already.
	}
}

// round registers or renews, and reads the other hosts when it is time. The
// record is written before the others are read, so that of two hosts that start
// together one finds the other.
func (r *registrar) round(ctx context.Context, lease *uint64, round int) error {
	if *lease != 0 {
		err := r.renew(ctx, *lease)
		if errors.Is(err, platform.ErrStoreLease) {
			*lease = 0
		} else if err != nil {
			return err
		}
	}
	if *lease == 0 {
		granted, err := r.register(ctx)
		if err != nil {
			return err
		}
		*lease = granted
	}
	if r.listed.Load() && round%listEvery != 0 {
		return nil
	}
	return r.list(ctx, r.listed.Load())
}

func (r *registrar) renew(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.store.Renew(ctx, lease)
}

func (r *registrar) register(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, _, err := r.store.Grant(ctx, leaseLifetime)
	if err != nil {
		return 0, err
	}
	value, err := peers.EncodeRecord(r.record)
	if err != nil {
		return 0, err
	}
	if err := r.store.Put(ctx, hostsPrefix+string(r.record.Host), value, lease); err != nil {
		return 0, err
	}
	eventRegistered.Log(r.logger, "lease", lease)
	return lease, nil
}

func (r *registrar) list(ctx context.Context, stale bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	items, err := r.store.List(ctx, hostsPrefix, stale)
	if err != nil {
		return err
	}
	records := make([]peers.Record, 0, len(items))
	for _, item := range items {
		record, err := peers.DecodeRecord(item.Value)
		if err != nil || string(record.Host) != strings.TrimPrefix(item.Key, hostsPrefix) {
			eventRecordBad.Log(r.logger, "key", item.Key, "error", err)
			continue
		}
		records = append(records, record)
	}
	r.learn(records...)
	r.listed.Store(true)
	return nil
}
