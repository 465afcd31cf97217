package hostnode

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/ingress"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/placement"
	"geraniumnotch.example/geraniumnotch/transport"
)

// The rate of log lines about calls is limited for each kind of line, so that a flood
// of answered calls cannot hide the failed ones.
const (
	finishedLinesPerSecond = 40
	failedLinesPerSecond   = 60
	attemptLinesPerSecond  = 60
)

// observer writes the log lines and the metrics of calls. It never blocks.
type observer struct {
	logger                                   hclog.Logger
	finishedLimit, failedLimit, attemptLimit *rate.Limiter
	calls                                    metric.Int64Counter
	duration                                 metric.Float64Histogram
	attempts                                 metric.Int64Counter
	queueDelay                               metric.Float64Histogram
	suppressed                               metric.Int64Counter
	hedges                                   metric.Int64Counter
	rejections                               metric.Int64Counter
	workspaces                               *workspaceObserver
	linkWait                                 metric.Float64Histogram
	placements                               metric.Int64Counter
}

// latencyBuckets are the bounds of the histograms in seconds, around the usual
// latency targets.
var latencyBuckets = metric.WithExplicitBucketBoundaries(0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 3, 6)

func newObserver(logger hclog.Logger, meter metric.Meter, droppedLines, storeCalls func() int64) (*observer, error) {
	o := &observer{
		logger:        logger,
		finishedLimit: rate.NewLimiter(finishedLinesPerSecond, finishedLinesPerSecond),
		failedLimit:   rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond),
		attemptLimit:  rate.NewLimiter(attemptLinesPerSecond, attemptLinesPerSecond),
	}
	var errs [12]error
	o.calls, errs[0] = meter.Int64Counter("host_calls", metric.WithDescription("calls of clients and of the endpoint by status and reason"))
	o.duration, errs[1] = meter.Float64Histogram("host_call_seconds", latencyBuckets, metric.WithDescription("time from the head of a request to its answer"))
	o.attempts, errs[2] = meter.Int64Counter("host_attempts", metric.WithDescription("attempts at the endpoint of the host by fate and reason"))
	o.queueDelay, errs[3] = meter.Float64Histogram("host_queue_seconds", latencyBuckets, metric.WithDescription("time that attempts waited for a slot"))
	o.suppressed, errs[4] = meter.Int64Counter("host_log_lines_suppressed", metric.WithDescription("lines about calls beyond their rate"))
	_, errs[5] = meter.Int64ObservableCounter("host_log_lines_dropped", metric.WithDescription("lines that found the queue for standard output full"),
		counterCallback(droppedLines))
	_, errs[6] = meter.Int64ObservableCounter("host_store_calls", metric.WithDescription("calls to the platform's store"), counterCallback(storeCalls))
	o.hedges, errs[7] = meter.Int64Counter("host_hedges", metric.WithDescription("second attempts of idempotent calls while the first had no answer"))
	o.rejections, errs[8] = meter.Int64Counter("host_rejections", metric.WithDescription("calls of workspaces that the local endpoint's queue rejected, by reason and rank"))
	o.workspaces, errs[9] = newWorkspaceObserver(logger, meter)
	o.linkWait, errs[10] = meter.Float64Histogram("host_outgoing_wait_seconds", latencyBuckets, metric.WithDescription("time that chunks of long responses to other hosts waited for the host's link, by rank"))
	o.placements, errs[11] = meter.Int64Counter("host_placements", metric.WithDescription("choices of an endpoint by service, whether the call left its failure domain, and why"))
	return o, errors.Join(errs[:]...)
}

// observeClientLimits registers the metrics of what clients hold.
func observeClientLimits(meter metric.Meter, memory func() heldmemory.Usage, connections func() ingress.ConnectionUsage) error {
	gauge := func(name, text string, value func() int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(text), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
		return err
	}
	_, gaveWay := meter.Int64ObservableCounter("host_bodies_gave_way", metric.WithDescription("bodies and connections without progress that were given up for the memory of others"),
		counterCallback(func() int64 { return memory().GaveWay }))
	_, refused := meter.Int64ObservableCounter("host_bodies_refused", metric.WithDescription("heads and bodies of requests, and requests with their responses, for which there was no memory"),
		counterCallback(func() int64 { return memory().Refused }))
	_, evicted := meter.Int64ObservableCounter("host_connections_evicted", metric.WithDescription("connections of clients that were closed for new ones"),
		counterCallback(func() int64 { return connections().Evicted }))
	_, closed := meter.Int64ObservableCounter("host_connections_refused", metric.WithDescription("connections of clients beyond the limit, closed without a response"),
		counterCallback(func() int64 { return connections().Refused }))
	return errors.Join(gaveWay, refused, evicted, closed,
		gauge("host_body_bytes", "memory that requests and responses of clients hold", func() int64 { return memory().Used }),
		gauge("host_connections", "open connections of clients", func() int64 { return int64(connections().Open) }))
}

// observeHostLink registers the figures of the link by which responses leave.
func observeHostLink(meter metric.Meter, l *hostlink.Link) error {
	gauge := func(name, description string, value func(hostlink.Stats) int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value(l.Stats()))
			return nil
		}))
		return err
	}
	_, err := meter.Int64ObservableCounter("host_outgoing_refused", metric.WithDescription("calls that were not executed because their long response would not have left in time by this host's link, or not have arrived by it"),
		counterCallback(func() int64 { return l.Stats().Refused }))
	return errors.Join(err,
		gauge("host_outgoing_waiting_bytes", "bytes of long responses that wait for the host's link", func(s hostlink.Stats) int64 { return s.WaitingBytes }),
		gauge("host_outgoing_promised_bytes", "bytes of long responses that have been begun and have not left", func(s hostlink.Stats) int64 { return s.PromisedBytes }),
		gauge("host_outgoing_bytes_per_second", "rate that the host's link is counted on for, 0 while nothing is ordered", func(s hostlink.Stats) int64 { return int64(s.BytesPerSecond) }),
	)
}

// waitedForLink records the time that a chunk waited for the host's link.
func (o *observer) waitedForLink(need hostlink.Need, waited time.Duration) {
	o.linkWait.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.Int("rank", int(need.Rank)), attribute.Bool("nested", need.Nested)))
}

// observeLinks registers the counter of the bytes on the links to other hosts.
func observeLinks(meter metric.Meter, local, remote func() map[transport.Kind]transport.KindTraffic) error {
	_, err := meter.Int64ObservableCounter("host_link_bytes", metric.WithDescription("bytes on links to other hosts by domain, direction and kind of message"),
		metric.WithInt64Callback(func(_ context.Context, counter metric.Int64Observer) error {
			observeTraffic(counter, "local", local())
			observeTraffic(counter, "remote", remote())
			return nil
		}))
	return err
}

func observeTraffic(counter metric.Int64Observer, domain string, traffic map[transport.Kind]transport.KindTraffic) {
	type series struct{ kind, direction string }
	bytes := map[series]int64{}
	for kind, t := range traffic {
		bytes[series{kind.String(), "in"}] += t.In.Bytes
		bytes[series{kind.String(), "out"}] += t.Out.Bytes
	}
	for s, n := range bytes {
		counter.Observe(n, metric.WithAttributes(attribute.String("domain", domain), attribute.String("direction", s.direction), attribute.String("kind", s.kind)))
	}
}

// register registers the metrics of roll-outs.
func (k *rolloutKeeper) register(meter metric.Meter) error {
	var errs [4]error
	_, errs[0] = meter.Int64ObservableGauge("host_rollout_phase", metric.WithDescription("phase of the roll-out of a service: 1 verifying, 2 shifting, 3 completed, 4 rolled back"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, s := range k.table.States() {
				o.Observe(int64(s.Phase), metric.WithAttributes(attribute.String("service", string(s.Service)), attribute.String("target", s.Target)))
			}
			return nil
		}))
	_, errs[1] = meter.Float64ObservableGauge("host_rollout_share", metric.WithDescription("share of the calls of a service that go to the target version first"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, s := range k.table.States() {
				o.Observe(s.Share, metric.WithAttributes(attribute.String("service", string(s.Service)), attribute.String("target", s.Target)))
			}
			return nil
		}))
	_, errs[2] = meter.Int64ObservableCounter("host_rollout_calls", metric.WithDescription("calls of this host to a service that is or was rolled out, and those of them that tried the target version first"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, s := range k.table.States() {
				u, service := k.table.Usage(s.Service), attribute.String("service", string(s.Service))
				o.Observe(u.Sent, metric.WithAttributes(service, attribute.String("calls", "sent")))
				o.Observe(u.Exposed, metric.WithAttributes(service, attribute.String("calls", "target_first")))
			}
			return nil
		}))
	_, errs[3] = meter.Int64ObservableCounter("host_rollout_answers", metric.WithDescription("answers of the endpoint of the host by its software version; bad ones failed or were several times slower than usual"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if e := k.registration.Current(); e != nil {
				all, software := k.tally.All(), attribute.String("software", e.Software)
				o.Observe(int64(all.Total-all.Bad), metric.WithAttributes(software, attribute.String("answers", "good")))
				o.Observe(int64(all.Bad), metric.WithAttributes(software, attribute.String("answers", "bad")))
			}
			return nil
		}))
	return errors.Join(errs[:]...)
}

// counterCallback returns the option that reads a counter which is kept elsewhere.
func counterCallback(value func() int64) metric.Int64ObservableCounterOption {
	return metric.WithInt64Callback(func(_ context.Context, counter metric.Int64Observer) error {
		counter.Observe(value())
		return nil
	})
}

// Finished implements ingress.Observer.
func (o *observer) Finished(e *ingress.Exchange) {
	ctx := context.Background()
	o.calls.Add(ctx, 1, metric.WithAttributes(attribute.Int("status", e.Status), attribute.String("reason", e.Reason)))
	o.duration.Record(ctx, e.Duration.Seconds())
	if o.workspaces.finished(e) {
		return
	}
	event, limiter := eventCallFinished, o.finishedLimit
	if e.Status >= http.StatusBadRequest || e.Status == 0 {
		event, limiter = eventCallFailed, o.failedLimit
	}
	if !limiter.Allow() {
		o.suppressed.Add(ctx, 1)
		return
	}
	args := []any{
		"id", e.ID, "status", e.Status, "took_ms", e.Duration.Milliseconds(), "plan", e.PlanVersion, "service", e.Service,
		"host", e.Host, "sent", e.SentAttempts, "refusals", e.Rejections, "wait_ms", e.ClientTimeout.Milliseconds(), "age_ms", e.Age.Milliseconds(),
	}
	if e.Route != nil {
		args = append(args, "route", e.Route.Name, "kind", e.Route.Kind.String(), "rank", e.Rank)
	}
	if event == eventCallFailed {
		args = append(args, "reason", e.Reason, "fate", e.Result.Outcome.String(), "nested", e.Nested, "retry_after_ms", e.Result.RetryAfter.Milliseconds())
	}
	event.Log(o.logger, args...)
}

// hedged counts a second attempt.
func (o *observer) hedged() { o.hedges.Add(context.Background(), 1) }

// placed counts a choice of an endpoint.
func (o *observer) placed(service mesh.ServiceName, reason placement.Reason) {
	o.placements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", string(service)), attribute.Bool("left", reason.Left()), attribute.String("reason", reason.String())))
}

// Attempted implements localendpoint.Observer.
func (o *observer) Attempted(c *call.Call, e *localendpoint.Endpoint, r call.Result, queueDelay, serviceTime time.Duration) {
	ctx := context.Background()
	o.attempts.Add(ctx, 1, metric.WithAttributes(attribute.String("fate", r.Outcome.String()), attribute.String("reason", r.Reason)))
	o.queueDelay.Record(ctx, queueDelay.Seconds())
	if r.Outcome == call.Rejected && c.Workspace != "" {
		o.rejections.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", r.Reason), attribute.Int("rank", int(c.Rank))))
	}
	if r.Outcome == call.Answered {
		return
	}
	if !o.attemptLimit.Allow() {
		o.suppressed.Add(ctx, 1)
		return
	}
	args := []any{
		"id", c.ID, "fate", r.Outcome.String(), "reason", r.Reason, "sent", r.Sent, "rank", c.Rank, "nested", c.Nested,
		"waited_ms", queueDelay.Milliseconds(), "ran_ms", serviceTime.Milliseconds(), "left_ms", c.Remaining.Milliseconds(),
		"target_left_ms", c.TargetRemaining.Milliseconds(), "running", r.Load.Running, "waiting", r.Load.Waiting,
	}
	if e != nil {
		args = append(args, "endpoint", e.ID, "sequence", e.Sequence, "slots", e.Slots)
	}
	eventAttemptFailed.Log(o.logger, args...)
}

// RateNamed implements localendpoint.Observer.
func (o *observer) RateNamed(e *localendpoint.Endpoint, callsPerSecond float64) {
	eventEndpointRate.Log(o.logger, "endpoint", e.ID, "calls_per_s", callsPerSecond)
}

// Leaving implements localendpoint.Observer.
func (o *observer) Leaving(e *localendpoint.Endpoint) {
	eventEndpointLeaving.Log(o.logger, "endpoint", e.ID, "started_at_ms", e.StartedAtMs)
}
