package proxy

import (
	"context"
	"sync"

	"geraniumnotch.example/geraniumnotch/mesh"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// instruments are the metrics of an entry. They are nil without a meter, so that
// no attributes are built that nobody reads.
type instruments struct {
	calls    metric.Int64Counter
	retries  metric.Int64Counter
	duration metric.Float64Histogram
	ranks    [mesh.RankCount]metric.MeasurementOption
	// attributeSets caches the attributes of each kind of result that has occurred.
	attributeSets *sync.Map // resultKind to metric.MeasurementOption
}

// resultKind is the set of labels by which calls are counted.
type resultKind struct {
	rank    string
	outcome mesh.Outcome
	reason  mesh.Reason
}

// durationBounds are the bucket bounds of the duration histogram in seconds.
var durationBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60, 600}

// newInstruments creates the metrics. A metric that the meter cannot create
// discards its values.
func newInstruments(meter metric.Meter) instruments {
	var i instruments
	if meter == nil {
		return i
	}
	i.attributeSets = &sync.Map{}
	var err error
	if i.calls, err = meter.Int64Counter("geraniumnotch.calls", metric.WithDescription("Calls at this entry by rank, outcome and reason.")); err != nil {
		i.calls = noop.Int64Counter{}
	}
	if i.retries, err = meter.Int64Counter("geraniumnotch.retries", metric.WithDescription("Retries by the reason of the failure before.")); err != nil {
		i.retries = noop.Int64Counter{}
	}
	i.duration, err = meter.Float64Histogram("geraniumnotch.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a call to the end of its answer."), metric.WithExplicitBucketBoundaries(durationBounds...))
	if err != nil {
		i.duration = noop.Float64Histogram{}
	}
	for rank := range i.ranks {
		i.ranks[rank] = metric.WithAttributeSet(attribute.NewSet(attribute.String("rank", mesh.Rank(rank).String())))
	}
	return i
}

func (i *instruments) record(rank mesh.Rank, d *Decision) {
	if i.calls == nil {
		return
	}
	// A call without a route has no rank, and must not count as an urgent one.
	name := "none"
	if d.Route != "" {
		name = rank.String()
		i.duration.Record(context.Background(), d.Duration.Seconds(), i.ranks[rank])
	}
	i.calls.Add(context.Background(), 1, i.attributes(resultKind{name, d.Outcome, d.Reason}))
}

func (i *instruments) attributes(kind resultKind) metric.MeasurementOption {
	if known, ok := i.attributeSets.Load(kind); ok {
		return known.(metric.MeasurementOption)
	}
	set := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("rank", kind.rank),
		attribute.String("outcome", string(kind.outcome)),
		attribute.String("reason", string(kind.reason)),
	))
	i.attributeSets.Store(kind, set)
	return set
}

func (i *instruments) recordRetry(reason mesh.Reason) {
	if i.retries != nil {
		i.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
	}
}
