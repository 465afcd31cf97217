package selection

import (
	"context"
	"math"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

type instruments struct{ ejections metric.Int64Counter }

// newInstruments creates the metrics. An instrument that the meter rejects is
// replaced by one that discards its values.
func newInstruments(meter metric.Meter) instruments {
	if meter == nil {
		meter = noop.Meter{}
	}
	counter, err := meter.Int64Counter("geraniumnotch.selection.ejections",
		metric.WithDescription("Endpoints ejected by this node, by cause."))
	if err != nil {
		counter = noop.Int64Counter{}
	}
	return instruments{ejections: counter}
}

func (i instruments) recordEjection(cause ejectionCause) {
	i.ejections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", string(cause))))
}

// Status describes an endpoint for the operator API.
type Status struct {
	Host, Endpoint, Service string
	Domain                  string
	State                   string
	Outstanding             int64
	LatencySeconds          float64
	ReportedLoad            float64
}

var stateNames = map[int32]string{stateHealthy: "healthy", stateEjected: "ejected", stateRecovering: "recovering"}

// Status returns the status of every endpoint of the newest table, in no
// particular order.
func (s *Selector) Status() []Status {
	t := s.current.Load()
	if t == nil {
		return nil
	}
	var all []Status
	for _, g := range t.groups {
		for _, c := range g.all {
			all = append(all, c.status())
		}
	}
	return all
}

func (c *candidate) status() Status {
	state := stateNames[c.stats.state.Load()]
	if c.domain.unreachable.Load() {
		state = "domain unreachable"
	}
	return Status{
		Host: string(c.target.Host), Endpoint: string(c.target.Endpoint.ID),
		Service: string(c.service.name), Domain: string(c.target.Domain), State: state,
		Outstanding: c.stats.outstanding.Load(), LatencySeconds: c.stats.latency.load(),
		ReportedLoad: math.Float64frombits(c.stats.gateLoad.Load()),
	}
}
