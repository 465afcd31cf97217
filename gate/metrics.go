package gate

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/mesh"
)

var eventNoMetrics = events.Define(1804, hclog.Warn, "metrics of an endpoint are not available",
	"The instruments could not be created. Calls are not affected; check the metrics settings.")

// counters count the decisions of a gate. The gate's lock guards them.
type counters struct {
	granted  [mesh.RankCount]int64
	rejected map[mesh.Reason]int64
	shed     int64
}

type instruments struct {
	granted, rejected, shed metric.Int64ObservableCounter
	inUse, queued           metric.Int64ObservableGauge
	pressure                metric.Float64ObservableGauge
}

// register creates instruments that read the counters on collection, so that no
// metric is recorded on the call path.
func (g *Gate) register() {
	if g.config.Meter == nil {
		return
	}
	in, err := newInstruments(g.config.Meter)
	if err == nil {
		g.metrics, err = g.config.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
			g.observe(o, in)
			return nil
		}, in.granted, in.rejected, in.shed, in.inUse, in.queued, in.pressure)
	}
	if err != nil {
		eventNoMetrics.Log(g.config.Logger, "endpoint", g.config.Endpoint, "error", err)
	}
}

func newInstruments(m metric.Meter) (*instruments, error) {
	var errs [6]error
	in := &instruments{}
	in.granted, errs[0] = m.Int64ObservableCounter("geraniumnotch.gate.granted", metric.WithDescription("Calls that got a slot."))
	in.rejected, errs[1] = m.Int64ObservableCounter("geraniumnotch.gate.refused", metric.WithDescription("Calls refused as not executed."))
	in.shed, errs[2] = m.Int64ObservableCounter("geraniumnotch.gate.shed", metric.WithDescription("Calls that the endpoint refused for overload."))
	in.inUse, errs[3] = m.Int64ObservableGauge("geraniumnotch.gate.slots_in_use", metric.WithDescription("Slots in use."))
	in.queued, errs[4] = m.Int64ObservableGauge("geraniumnotch.gate.queued", metric.WithDescription("Waiting calls."))
	in.pressure, errs[5] = m.Float64ObservableGauge("geraniumnotch.gate.pressure", metric.WithDescription("Pressure; 1 is the limit."))
	return in, errors.Wrap(errors.Join(errs[:]...), "gate: create instruments")
}

func (g *Gate) observe(o metric.Observer, in *instruments) {
	g.mu.Lock()
	defer g.mu.Unlock()
	base := []attribute.KeyValue{
		attribute.String("endpoint", string(g.config.Endpoint)),
		attribute.String("service", string(g.limits.Name)),
	}
	withAttribute := func(key, value string) metric.MeasurementOption {
		return metric.WithAttributes(append(base[:len(base):len(base)], attribute.String(key, value))...)
	}
	load := g.Load()
	for i := range g.counters.granted {
		rank := withAttribute("rank", mesh.Rank(i).String())
		o.ObserveInt64(in.granted, g.counters.granted[i], rank)
		o.ObserveInt64(in.queued, int64(g.queue.byRank[i]), rank)
		o.ObserveFloat64(in.pressure, load.ByRank[i], rank)
	}
	for reason, n := range g.counters.rejected {
		o.ObserveInt64(in.rejected, n, withAttribute("reason", string(reason)))
	}
	o.ObserveInt64(in.shed, g.counters.shed, metric.WithAttributes(base...))
	o.ObserveInt64(in.inUse, int64(g.inUse), metric.WithAttributes(base...))
}
