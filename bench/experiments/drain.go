package experiments

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "drain",
		Summary:  "rolling stop of every node and endpoint under load with slow uploads",
		Defaults: bench.Params{Rate: 200},
		Run:      runDrain,
	})
}

const (
	// uploadDuration is the time that a slow upload takes to send its body.
	uploadDuration   = 3 * time.Second
	uploadsPerSecond = 10.0
	// stopPause is the pause before each stop of the rolling stop. The load lasts
	// until the last stop.
	stopPause = 500 * time.Millisecond
	// maxNewCallSeconds is the "few seconds" of the promise: after that time a
	// draining endpoint gets no new calls.
	maxNewCallSeconds = 3.0
)

func runDrain(ctx context.Context, p bench.Params, r *bench.Result) error {
	record := emulator.NewRecord(false)
	m, err := startMeshWithRecord(ctx, p, optionsWithout(p.DisabledMechanism), sameBehavior(emulator.Behavior{ServiceTime: 20 * time.Millisecond}), record)
	if err != nil {
		return err
	}
	defer m.Close()
	client := newClient()
	lookup := caller{client: client, hosts: m.Hosts, method: http.MethodGet, path: emulator.PathLookup, customer: emulator.CustomerPrimary}
	photo := slowUpload{caller: caller{client: client, hosts: m.Hosts, method: http.MethodPost, path: emulator.PathPhoto, customer: emulator.CustomerSecondary}}
	length := time.Duration(len(m.Hosts)) * (uploadDuration + stopPause)
	var stats map[string]*load.Stats
	var running sync.WaitGroup
	running.Go(func() {
		stats = load.Run(ctx, p.Seed, load.Window{Length: length},
			load.Class{Name: "lookups", Rate: p.Rate, MaxInFlight: maxInFlight, Send: lookup.sendWithRetry},
			load.Class{Name: "uploads", Rate: uploadsPerSecond, MaxInFlight: maxInFlight, Send: photo.send})
	})
	lastStart, failures := rollingStop(ctx, m, record)
	running.Wait()
	lookups, uploads := stats["lookups"], stats["uploads"]
	r.Check("cut_in_flight", float64(lookups.Count(load.Unknown)+lookups.Count(load.Wrong)+uploads.Count(load.Unknown)+uploads.Count(load.Wrong)), bench.Equal, 0)
	r.Check("new_work_after_s", lastStart.Seconds(), bench.AtMost, maxNewCallSeconds)
	r.Check("stops_failed", float64(failures), bench.Equal, 0)
	r.Check("lookups_ok_ratio", lookups.OKRatio(), bench.AtLeast, 0.999)
	r.Set("lookups_sent", float64(lookups.Sent))
	r.Set("uploads_ok", float64(uploads.Count(load.OK)))
	r.Set("uploads_not_executed", float64(uploads.Count(load.NotExecuted)))
	r.Set("uploads_sent", float64(uploads.Sent))
	r.Note("a caller whose call is rejected as not_executed retries it at another host; an upload takes %s", uploadDuration)
	return nil
}

// rollingStop stops and replaces the hosts one after the other. It returns the
// longest time from the start of a stop until the host's endpoint last began a
// call, and the number of stops and starts that failed.
func rollingStop(ctx context.Context, m *emulator.Mesh, record *emulator.Record) (time.Duration, int) {
	var lastStart time.Duration
	failures := 0
	for _, h := range m.Hosts {
		if bench.Sleep(ctx, stopPause) != nil {
			return lastStart, failures
		}
		id := h.Endpoint.ID()
		begin := time.Now()
		if err := m.StopHost(ctx, h); err != nil {
			failures++
		}
		if last := record.LastStart(id); last.After(begin) {
			lastStart = max(lastStart, last.Sub(begin))
		}
		if err := m.StartHost(ctx, h); err != nil {
			failures++
		}
	}
	return lastStart, failures
}

// sendWithRetry retries a call at other hosts while it is rejected as
// not_executed, as clients with several entry addresses do. A host that is down
// counts as such a rejection.
func (c caller) sendWithRetry(ctx context.Context, n int) load.Result {
	result := load.NotExecuted
	for attempt := 0; attempt < len(c.hosts) && result == load.NotExecuted; attempt++ {
		if c.isDown(n + attempt) {
			continue
		}
		result = c.send(ctx, n+attempt)
	}
	return result
}

// isDown reports whether the host of the n-th attempt has no running node.
func (c caller) isDown(n int) bool { return !c.hosts[n%len(c.hosts)].IsUp() }

// slowUpload sends calls with slow request bodies, and retries them at other
// hosts while they are rejected as not_executed.
type slowUpload struct{ caller }

// uploadChunks is the number of chunks in the body of a slow upload.
const uploadChunks = 30

func (u slowUpload) send(ctx context.Context, n int) load.Result {
	for attempt := range len(u.hosts) {
		host := u.hosts[(n+attempt)%len(u.hosts)]
		if !host.IsUp() {
			continue
		}
		r, err := host.NewRequest(ctx, u.method, u.path, u.customer)
		if err != nil {
			return load.Unknown
		}
		r.Body = io.NopCloser(&slowBody{chunks: uploadChunks, pause: uploadDuration / uploadChunks})
		r.ContentLength = -1
		r.Header.Set(emulator.HeaderEcho, "upload")
		if result := u.exchange(r, "upload"); result != load.NotExecuted {
			return result
		}
	}
	return load.NotExecuted
}

// slowBody is a request body that yields its chunks with a pause before each.
type slowBody struct {
	chunks int
	pause  time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.chunks == 0 {
		return 0, io.EOF
	}
	b.chunks--
	time.Sleep(b.pause)
	return copy(p, bytes.Repeat([]byte("x"), min(len(p), 1<<10))), nil
}
