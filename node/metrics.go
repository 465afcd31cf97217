package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/transport"
)

// controlMetrics are the metrics of the control plane.
type controlMetrics struct {
	delay metric.Float64Histogram
}

// newControlMetrics registers the metrics for the bytes on links between nodes, the
// sequence of the active version and the convergence time.
func newControlMetrics(p *components, traffic *transport.Meter) (*controlMetrics, error) {
	meter := p.metrics.Meter()
	delay, err := meter.Float64Histogram("geraniumnotch.version.delay", metric.WithUnit("s"),
		metric.WithDescription("Time from the proposal of a change, by the proposer's clock, until its version is in force on this node."))
	if err != nil {
		return nil, errors.Wrap(err, "node: create the histogram of version delays")
	}
	bytes, err := meter.Int64ObservableCounter("geraniumnotch.control.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes on links between nodes."))
	if err != nil {
		return nil, errors.Wrap(err, "node: create the counter of control bytes")
	}
	sequence, err := meter.Int64ObservableGauge("geraniumnotch.version.sequence",
		metric.WithDescription("Sequence of the version in force."))
	if err != nil {
		return nil, errors.Wrap(err, "node: create the gauge of the version sequence")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		total := traffic.Total()
		o.ObserveInt64(bytes, total.In.Bytes, metric.WithAttributes(attribute.String("direction", "in")))
		o.ObserveInt64(bytes, total.Out.Bytes, metric.WithAttributes(attribute.String("direction", "out")))
		if s := p.current.Load(); s != nil {
			o.ObserveInt64(sequence, int64(s.Version.Sequence))
		}
		return nil
	}, bytes, sequence)
	return &controlMetrics{delay: delay}, errors.Wrap(err, "node: register the control plane metrics")
}

// observeClients registers the metrics of what clients hold.
func observeClients(p *components) error {
	meter := p.metrics.Meter()
	var errs [6]error
	bytes, err := meter.Int64ObservableGauge("geraniumnotch.clients.memory", metric.WithUnit("By"), metric.WithDescription("Memory that heads and bodies of requests hold."))
	errs[0] = err
	gaveWay, err := meter.Int64ObservableCounter("geraniumnotch.clients.gave.way", metric.WithDescription("Bodies and connections without progress that were given up for the memory of others."))
	errs[1] = err
	refused, err := meter.Int64ObservableCounter("geraniumnotch.clients.refused", metric.WithDescription("Heads and bodies for which there was no memory."))
	errs[2] = err
	open, err := meter.Int64ObservableGauge("geraniumnotch.connections", metric.WithDescription("Open connections by server."))
	errs[3] = err
	evicted, err := meter.Int64ObservableCounter("geraniumnotch.connections.evicted", metric.WithDescription("Connections that were closed for new ones, by server."))
	errs[4] = err
	closed, err := meter.Int64ObservableCounter("geraniumnotch.connections.refused", metric.WithDescription("Connections beyond the limit, closed without a response, by server."))
	errs[5] = err
	if err := errors.Join(errs[:]...); err != nil {
		return errors.Wrap(err, "node: create the metrics of clients")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		memory, operators := p.clientMemory.Usage(), p.operatorMemory.Usage()
		o.ObserveInt64(bytes, memory.Used+operators.Used)
		o.ObserveInt64(gaveWay, memory.GaveWay+operators.GaveWay)
		o.ObserveInt64(refused, memory.Refused+operators.Refused)
		for name, limiter := range p.limiters {
			usage, server := limiter.Usage(), metric.WithAttributes(attribute.String("server", name))
			o.ObserveInt64(open, int64(usage.Open), server)
			o.ObserveInt64(evicted, usage.Evicted, server)
			o.ObserveInt64(closed, usage.Refused, server)
		}
		return nil
	}, bytes, gaveWay, refused, open, evicted, closed)
	return errors.Wrap(err, "node: register the metrics of clients")
}

// recordActivation records the convergence time of a version, which is active now.
func (m *controlMetrics) recordActivation(v *lists.Version) {
	m.delay.Record(context.Background(), time.Since(v.Change.Time).Seconds())
}
