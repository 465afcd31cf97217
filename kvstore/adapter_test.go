package kvstore_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
)

// TestRegistry guards against an adapter that cannot be opened by its name or
// that replaces another one of the same name.
func TestRegistry(t *testing.T) {
	Convey("Given a registered adapter", t, func() {
		backing := memory.New()
		name := fmt.Sprintf("test-%d", len(kvstore.Adapters()))
		kvstore.RegisterAdapter(name, func(string) (kvstore.Store, error) { return backing, nil })
		_, err := kvstore.Open(name, "")
		So(err, ShouldBeNil)
		_, err = kvstore.Open("missing", "")
		So(err, shouldBeError, kvstore.ErrUnknownAdapter)
		So(func() { kvstore.RegisterAdapter(name, nil) }, ShouldPanic)
	})
}

// TestCounting guards against calls that CountingStore does not count.
func TestCounting(t *testing.T) {
	Convey("Given a counted store with metrics", t, func() {
		ctx := context.Background()
		counting := kvstore.NewCountingStore(memory.New())
		reader := sdk.NewManualReader()
		meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("test")
		So(counting.ExportMetrics(meter), ShouldBeNil)
		checkList(ctx, counting, nil)
		checkSwap(ctx, counting, nil)
		counts := counting.Counts()
		So(counts.ByKind[kvstore.CallGet], ShouldEqual, 2)
		So(counts.ByKind[kvstore.CallCompareAndSwap], ShouldEqual, 9)
		So(counts.ByKind[kvstore.CallList], ShouldEqual, 3)
		So(counts.Reads()+counts.Writes(), ShouldEqual, counts.Total())
		var collected metricdata.ResourceMetrics
		So(reader.Collect(ctx, &collected), ShouldBeNil)
		So(collected.ScopeMetrics[0].Metrics, ShouldHaveLength, 2)
	})
}
