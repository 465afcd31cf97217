// Package metrics sets up the OpenTelemetry meter of a process and exports its
// instruments in the Prometheus text format.
package metrics

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// scope is the OpenTelemetry instrumentation scope of all instruments.
const scope = "geraniumnotch"

// Registry holds the instruments of one node. In a process with several nodes each
// node has its own.
type Registry struct {
	provider *sdk.MeterProvider
	handler  http.Handler
}

// New returns a registry that contains only the collectors of the Go runtime and
// of the process.
func New() (*Registry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics: create exporter")
	}
	return &Registry{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Meter returns the meter that packages create their instruments from.
func (r *Registry) Meter() metric.Meter { return r.provider.Meter(scope) }

// Handler serves the instruments in the Prometheus text format.
func (r *Registry) Handler() http.Handler { return r.handler }
