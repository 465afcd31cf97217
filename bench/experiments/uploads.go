package experiments

import (
	"context"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/node"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "uploads",
		Summary:  "long uploads on every slot that they may use, then urgent calls (--baseline)",
		Defaults: bench.Params{Duration: 10 * time.Second},
		Run:      runUploads,
	})
}

const (
	// checkServiceTime is the service time of the urgent calls beside the uploads.
	checkServiceTime = 20 * time.Millisecond
	// uploadLoadFactor is the number of offered uploads over the number of slots.
	uploadLoadFactor = 3
	// checkLoadFactor is the offered load of the urgent calls over the capacity of
	// all slots.
	checkLoadFactor = 0.1
	// maxUrgentQueueingDelayMs is the queueing delay of urgent calls that "moments"
	// allows: a person notices a longer one.
	maxUrgentQueueingDelayMs = 100.0
)

type uploadResult struct {
	urgent *load.Stats
	photos *load.Stats
}

// measureUploads offers uploads that last longer than the measurement, and urgent
// calls to the same service.
func measureUploads(ctx context.Context, p bench.Params, o node.Options) (uploadResult, error) {
	length := p.Duration + 4*time.Second
	m, err := startMesh(ctx, p, o, sameBehavior(emulator.Behavior{ServiceTime: checkServiceTime, PathTimes: map[string]time.Duration{
		emulator.PathPhoto: length, emulator.PathPhoto + "-check": checkServiceTime,
	}}))
	if err != nil {
		return uploadResult{}, err
	}
	defer m.Close()
	service := m.Config.Deployment.PhotosService()
	slots := float64(len(hostsOf(m, service, true)) * m.Config.Deployment.SlotsOf(service))
	client := newClient()
	photo := caller{client: client, hosts: m.Hosts, method: http.MethodPost, path: emulator.PathPhoto, customer: emulator.CustomerSecondary}
	check := caller{client: client, hosts: m.Hosts, method: http.MethodGet, path: emulator.PathPhoto + "-check", customer: emulator.CustomerPrimary}
	photos := make(chan *load.Stats, 1)
	go func() {
		stats := load.Run(ctx, p.Seed, load.Window{Length: time.Second}, load.Class{Name: "photo", Rate: slots * uploadLoadFactor, MaxInFlight: maxInFlight, Send: photo.send})
		photos <- stats["photo"]
	}()
	if err := bench.Sleep(ctx, 2*time.Second); err != nil {
		return uploadResult{}, err
	}
	urgent := load.Run(ctx, p.Seed+1, load.Window{Length: p.Duration}, load.Class{
		Name: "urgent", Rate: capacity(m, service, checkServiceTime) * checkLoadFactor, MaxInFlight: maxInFlight, Send: check.send,
	})
	return uploadResult{urgent: urgent["urgent"], photos: <-photos}, nil
}

func runUploads(ctx context.Context, p bench.Params, r *bench.Result) error {
	result, err := measureUploads(ctx, p, optionsWithout(p.DisabledMechanism))
	if err != nil {
		return err
	}
	queueingDelay := milliseconds(result.urgent.Quantile(99) - checkServiceTime)
	r.Check("urgent_wait_p99_ms", queueingDelay, bench.AtMost, maxUrgentQueueingDelayMs)
	r.Check("urgent_ok_ratio", result.urgent.OKRatio(), bench.AtLeast, 0.999)
	// An upload that was rejected before its execution was not cut.
	r.Check("uploads_cut", float64(result.photos.Count(load.Unknown)+result.photos.Count(load.Wrong)), bench.Equal, 0)
	r.Set("uploads_finished", float64(result.photos.Count(load.OK)))
	r.Set("uploads_refused", float64(result.photos.Count(load.NotExecuted)))
	if p.Baseline == "" {
		return nil
	}
	baseline, err := measureUploads(ctx, p, baselineOptions())
	if err != nil {
		return err
	}
	r.Set("baseline_urgent_ok_ratio", baseline.urgent.OKRatio())
	r.Set("baseline_urgent_wait_p99_ms", milliseconds(baseline.urgent.Quantile(99)-checkServiceTime))
	return nil
}
