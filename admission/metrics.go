package admission

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// counters count the decisions of a controller.
type counters struct {
	admitted [mesh.RankCount]atomic.Int64
	rejected sync.Map // rejectionKey to *atomic.Int64
	// deferred counts demands that the byte budget held back, unsent messages to
	// peers without a link, expired grants that were not renewed in time.
	deferred, unsent, expired atomic.Int64
}

type rejectionKey struct {
	rank   mesh.Rank
	reason mesh.Reason
}

func (c *counters) reject(rank mesh.Rank, reason mesh.Reason) {
	key := rejectionKey{rank: min(rank, mesh.RankCount-1), reason: reason}
	v, ok := c.rejected.Load(key)
	if !ok {
		v, _ = c.rejected.LoadOrStore(key, &atomic.Int64{})
	}
	v.(*atomic.Int64).Add(1)
}

type instruments struct {
	admitted, rejected, deferred, unsent, expired metric.Int64ObservableCounter
	level                                         metric.Float64ObservableGauge
}

// register creates instruments that read the counters on collection, so that no
// metric is recorded on the call path.
func (c *Controller) register() {
	if c.config.Meter == nil {
		return
	}
	in, err := newInstruments(c.config.Meter)
	if err == nil {
		c.metrics, err = c.config.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
			c.observe(o, in)
			return nil
		}, in.admitted, in.rejected, in.deferred, in.unsent, in.expired, in.level)
	}
	if err != nil {
		eventNoMetrics.Log(c.config.Logger, "error", err)
	}
}

func newInstruments(m metric.Meter) (*instruments, error) {
	var errs [6]error
	in := &instruments{}
	in.admitted, errs[0] = m.Int64ObservableCounter("geraniumnotch.admission.admitted", metric.WithDescription("Root requests admitted."))
	in.rejected, errs[1] = m.Int64ObservableCounter("geraniumnotch.admission.refused", metric.WithDescription("Root requests refused."))
	in.deferred, errs[2] = m.Int64ObservableCounter("geraniumnotch.admission.quota.deferred", metric.WithDescription("Demands held back by the byte bound."))
	in.unsent, errs[3] = m.Int64ObservableCounter("geraniumnotch.admission.quota.unsent", metric.WithDescription("Quota messages without a link."))
	in.expired, errs[4] = m.Int64ObservableCounter("geraniumnotch.admission.quota.expired", metric.WithDescription("Shares that were not renewed."))
	in.level, errs[5] = m.Float64ObservableGauge("geraniumnotch.admission.level", metric.WithDescription("Share of root requests that a service takes."))
	return in, errors.Wrap(errors.Join(errs[:]...), "admission: create instruments")
}

func (c *Controller) observe(o metric.Observer, in *instruments) {
	rank := func(r mesh.Rank) attribute.KeyValue { return attribute.String("rank", r.String()) }
	for i := range c.counters.admitted {
		o.ObserveInt64(in.admitted, c.counters.admitted[i].Load(), metric.WithAttributes(rank(mesh.Rank(i))))
	}
	c.counters.rejected.Range(func(k, v any) bool {
		key := k.(rejectionKey)
		attrs := metric.WithAttributes(rank(key.rank), attribute.String("reason", string(key.reason)))
		o.ObserveInt64(in.rejected, v.(*atomic.Int64).Load(), attrs)
		return true
	})
	o.ObserveInt64(in.deferred, c.counters.deferred.Load())
	o.ObserveInt64(in.unsent, c.counters.unsent.Load())
	o.ObserveInt64(in.expired, c.counters.expired.Load())
	c.services.Range(func(k, v any) bool {
		for i := range v.(*levels) {
			l := &v.(*levels)[i]
			l.mu.Lock()
			fraction := l.fraction
			l.mu.Unlock()
			o.ObserveFloat64(in.level, fraction, metric.WithAttributes(attribute.String("service", string(k.(mesh.ServiceName))), rank(mesh.Rank(i))))
		}
		return true
	})
}
