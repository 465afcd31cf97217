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

// recordActivation records the convergence time of a version, which is active now.
func (m *controlMetrics) recordActivation(v *lists.Version) {
	m.delay.Record(context.Background(), time.Since(v.Change.Time).Seconds())
}
