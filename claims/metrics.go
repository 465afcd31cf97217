package claims

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// instruments are the metrics of a Claimer.
type instruments struct {
	claims metric.Int64Counter
	writes metric.Int64Counter
	batch  metric.Int64Histogram
}

func newInstruments(meter metric.Meter) (*instruments, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	claims, err1 := meter.Int64Counter("geraniumnotch.claims",
		metric.WithDescription("Claims by result"))
	writes, err2 := meter.Int64Counter("geraniumnotch.claims.writes",
		metric.WithDescription("Segment writes by result"))
	batch, err3 := meter.Int64Histogram("geraniumnotch.claims.batch",
		metric.WithDescription("Operations per segment write"))
	err := errors.CombineErrors(err1, errors.CombineErrors(err2, err3))
	return &instruments{claims: claims, writes: writes, batch: batch}, errors.Wrap(err, "claims: metrics")
}

func (i *instruments) recordClaim(r opResult) {
	result := "granted"
	if !r.ok() {
		result = string(r.reason)
	}
	i.claims.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (i *instruments) recordWrite(err error, operations int) {
	result := metric.WithAttributes(attribute.String("result", writeResult(err)))
	i.writes.Add(context.Background(), 1, result)
	i.batch.Record(context.Background(), int64(operations))
}

func writeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, kvstore.ErrConflict):
		return "conflict"
	case errors.Is(err, kvstore.ErrUnknown):
		return "unknown"
	default:
		return "failed"
	}
}
