package hostnode

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/localendpoint"
)

// observeShares registers the gauges of the shares of workspaces at the local endpoint.
func observeShares(meter metric.Meter, registration *localendpoint.Registration, admission *localendpoint.NestedAdmission, clock boottime.Clock) error {
	_, served := meter.Float64ObservableGauge("host_least_served_share",
		metric.WithDescription("calls started of those offered by the least served workspace at the local endpoint, relative to all calls"),
		metric.WithFloat64Callback(func(_ context.Context, gauge metric.Float64Observer) error {
			if e := registration.Current(); e != nil {
				_, least := e.Queue.ServedShares(clock())
				gauge.Observe(least)
			}
			return nil
		}))
	_, nested := meter.Float64ObservableGauge("host_nested_admission",
		metric.WithDescription("lowest fraction of the calls of a class that is admitted because of rejections of their nested calls"),
		metric.WithFloat64Callback(func(_ context.Context, gauge metric.Float64Observer) error {
			gauge.Observe(admission.LowestLevel(clock()))
			return nil
		}))
	return errors.Join(served, nested)
}
