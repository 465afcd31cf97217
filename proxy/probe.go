package proxy

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/selection"
)

const (
	// probeInterval is the time between rounds of probes.
	probeInterval = time.Second
	// probesPerRound bounds the probes of a round. A probe and its response take
	// about 300 bytes, so that a round stays below the control budget of 4 KB/s.
	probesPerRound = 4
)

// RunProbes probes ejected endpoints and unreachable failure domains, and closes
// unused connections, until ctx ends.
func (e *Entry) RunProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.ProbeOnce(ctx)
			e.WarmOnce(ctx)
			e.pools.prune()
			e.uploadPools.prune()
		case <-ctx.Done():
			return
		}
	}
}

// ProbeOnce runs the probes that are due concurrently and waits for them.
func (e *Entry) ProbeOnce(ctx context.Context) {
	due := e.cfg.Selector.DueProbes(probesPerRound)
	done := make(chan struct{}, len(due))
	for _, p := range due {
		go func() {
			p.Done(e.probe(ctx, p))
			done <- struct{}{}
		}()
	}
	for range due {
		<-done
	}
}

// WarmOnce opens connections to a few hosts of the local domain that this node has
// not called yet. It does so with a probe, whose idle connection the first call
// then uses.
func (e *Entry) WarmOnce(ctx context.Context) {
	opened := 0
	for _, target := range e.cfg.Selector.Table(e.cfg.Snapshot.Load()).LocalTargets() {
		if opened == probesPerRound {
			return
		}
		if !e.pools.has(target.CallAddress) {
			opened++
			e.sendProbe(ctx, target.CallAddress, "")
		}
	}
}

func (e *Entry) probe(ctx context.Context, p selection.Probe) bool {
	return e.sendProbe(ctx, p.Target.CallAddress, p.Target.Endpoint.ID)
}

// sendProbe sends a probe and reports whether it succeeded.
func (e *Entry) sendProbe(ctx context.Context, address string, endpoint mesh.EndpointID) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	out := &http.Request{
		Method: http.MethodGet, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: address, Path: ProbePath + string(endpoint)},
	}
	(&requestBody{}).attach(out)
	resp, err := e.pools.get(address).RoundTrip(out.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}
