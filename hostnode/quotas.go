package hostnode

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/ingress"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/quota"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

// quotaBound parses the bound on quotas. Without it quotas are not enforced.
func (p *settingsParser) quotaBound() quota.Bound {
	if !slices.ContainsFunc([]string{"quota-window-s", "quota-overage", "quota-slack"}, func(key string) bool {
		return p.values["bounds."+key].Text != ""
	}) {
		return quota.Bound{}
	}
	return quota.Bound{Window: p.seconds("bounds", "quota-window-s"), Overage: p.fraction("bounds", "quota-overage"), Slack: p.fraction("bounds", "quota-slack")}
}

// newQuotas returns the service that limits the calls of workspaces, nil if the settings
// state no bound. The directory is needed from the first plan on.
func newQuotas(s *Settings, number int64, logger hclog.Logger, clock boottime.Clock, listed func() bool, directory func() *peers.Directory) *quota.Service {
	if !s.Quota.Limited() {
		return nil
	}
	return quota.NewService(quota.Config{
		Self: s.Host, Bound: s.Quota, Clock: clock, Logger: logger, Number: number,
		Hosts: func() quota.Hosts {
			h := directory().Hosts()
			return quota.Hosts{Known: h.Known, Reached: h.Reached, Silent: h.Silent, Listed: listed()}
		},
		Send: func(to mesh.HostID, kind transport.Kind, body any) error { return directory().Send(to, kind, body) },
	})
}

// ingressQuotas implements ingress.Quotas.
type ingressQuotas struct{ *quota.Service }

// Acquire implements ingress.Quotas.
func (q ingressQuotas) Acquire(ctx context.Context, w *routeplan.Workspace) *ingress.QuotaRejection {
	if retryAfter, admitted := q.Service.Acquire(ctx, w); !admitted {
		return &ingress.QuotaRejection{RetryAfter: retryAfter}
	}
	return nil
}

// observeQuotas registers the metrics of quotas.
func observeQuotas(meter metric.Meter, stats func() quota.Stats) error {
	_, err1 := meter.Int64ObservableCounter("host_quota_calls", metric.WithDescription("calls of workspaces with a quota by decision; waited ones are counted again when they are decided"),
		metric.WithInt64Callback(func(_ context.Context, counter metric.Int64Observer) error {
			c := stats()
			for decision, n := range map[string]int64{"admitted": c.Admitted, "waited": c.Waited, "rejected": c.Rejected - c.NoAnswer, "no_answer": c.NoAnswer} {
				counter.Observe(n, metric.WithAttributes(attribute.String("decision", decision)))
			}
			return nil
		}))
	_, err2 := meter.Int64ObservableCounter("host_quota_tokens", metric.WithDescription("tokens of the quotas that this host owns: granted, and refunds that hosts have sent"),
		metric.WithInt64Callback(func(_ context.Context, counter metric.Int64Observer) error {
			c := stats()
			counter.Observe(c.Granted, metric.WithAttributes(attribute.String("use", "granted")))
			counter.Observe(c.Refunded, metric.WithAttributes(attribute.String("use", "refunded")))
			return nil
		}))
	_, err3 := meter.Int64ObservableGauge("host_quota_owned", metric.WithDescription("workspaces whose quota this host owns"),
		metric.WithInt64Callback(func(_ context.Context, gauge metric.Int64Observer) error {
			gauge.Observe(int64(stats().Owned))
			return nil
		}))
	_, err4 := meter.Float64ObservableGauge("host_quota_smallest_part", metric.WithDescription("smallest part of an owned quota that is filled; below 1 hosts are unreachable"),
		metric.WithFloat64Callback(func(_ context.Context, gauge metric.Float64Observer) error {
			gauge.Observe(stats().SmallestPart)
			return nil
		}))
	return errors.Join(err1, err2, err3, err4)
}
