package distribution

import (
	"context"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/overlay"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// maxLaggingHosts bounds the lagging hosts listed in a report.
	maxLaggingHosts = 8
	// appliedDebounce is how long a host collects the reports of its tree children
	// before it reports to its parent.
	appliedDebounce = 500 * time.Millisecond
	// summaryRetryMax bounds the delay between attempts to write a summary.
	summaryRetryMax = 10 * time.Second
)

var eventSummaryFailed = events.Define(1620, hclog.Warn, "convergence summary not written",
	"Check the store; apply --wait does not see this failure domain until it is written.")

// SummaryWriter writes the summary of a failure domain; *authority.Authority is
// one.
type SummaryWriter interface {
	WriteSummary(ctx context.Context, summary authority.Summary) error
}

// converged reports whether all live hosts have accepted the version.
func converged(s authority.Summary) bool { return s.AtSequence >= s.Hosts }

// appliedState is the state of the convergence reports: those received from the
// tree children and the one last sent to the parent.
type appliedState struct {
	childReports map[mesh.HostID]applied
	acceptedAt   time.Time
	// dirty is set while the report may differ from the one last sent.
	dirty      bool
	lastSent   applied
	sentTo     mesh.HostID
	dirtySince time.Time
	// lastSummary is the last summary handed to the writer.
	lastSummary authority.Summary
	writing     bool
}

// startAppliedReport starts the report of a newly accepted version.
func (s *Service) startAppliedReport() {
	now := s.config.Clock()
	s.mu.Lock()
	s.applied.acceptedAt = now
	s.applied.dirty, s.applied.dirtySince = true, now
	s.mu.Unlock()
	s.reportApplied(now)
}

// markReportChanged marks the report as changed. The caller holds mu.
func (s *Service) markReportChanged(now time.Time) {
	if !s.applied.dirty {
		s.applied.dirty, s.applied.dirtySince = true, now
	}
}

func (s *Service) onApplied(l *transport.Link, a applied) {
	if a.Domain != s.config.Self.Domain {
		return
	}
	now := s.config.Clock()
	s.mu.Lock()
	if s.applied.childReports == nil {
		s.applied.childReports = map[mesh.HostID]applied{}
	}
	s.applied.childReports[l.Peer()] = a
	s.markReportChanged(now)
	s.mu.Unlock()
	s.reportApplied(now)
}

// reportApplied sends the report to the tree parent, or writes the summary at
// the root. It first waits up to appliedDebounce for the reports of the children.
func (s *Service) reportApplied(now time.Time) {
	accepted := s.acceptedID().Sequence
	if accepted == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overlay.Rank < 0 {
		return
	}
	if !s.applied.dirty && s.applied.sentTo == s.overlay.Parent {
		s.summarizeAtDeadline(now, accepted)
		return
	}
	report := s.aggregate(accepted)
	if report.Current < report.Hosts && now.Sub(s.applied.dirtySince) < appliedDebounce {
		return
	}
	s.applied.dirty = false
	if s.overlay.Parent == "" {
		s.applied.sentTo = ""
		s.summarize(now, report)
		return
	}
	s.sendApplied(report)
}

// resetReport makes the host report again when a new link to its parent is up,
// because a parent that restarted has lost the earlier reports. The caller holds mu.
func (s *Service) resetReport(peer mesh.HostID) {
	if peer == s.applied.sentTo {
		s.applied.sentTo = ""
		s.markReportChanged(s.config.Clock())
	}
}

// sendApplied sends a changed report to the parent. The caller holds mu.
func (s *Service) sendApplied(report applied) {
	parent, linked := s.peers[s.overlay.Parent]
	if !linked {
		s.applied.dirty = true
		return
	}
	if s.applied.sentTo == s.overlay.Parent && reflect.DeepEqual(report, s.applied.lastSent) {
		return
	}
	s.applied.lastSent, s.applied.sentTo = report, s.overlay.Parent
	s.send(parent.link, transport.KindApplied, report)
}

// aggregate combines the reports of the children with the node's own version.
// The caller holds mu.
func (s *Service) aggregate(accepted mesh.Sequence) applied {
	sum := applied{Domain: s.config.Self.Domain, Sequence: accepted, Hosts: 1, Current: 1, Lowest: accepted}
	for _, child := range s.overlay.Children {
		report, reported := s.applied.childReports[child]
		if !reported {
			report = applied{Hosts: 1}
		}
		sum.Hosts += report.Hosts
		sum.Lowest = min(sum.Lowest, report.Lowest)
		if report.Sequence < accepted {
			sum.Lagging = append(sum.Lagging, authority.LaggingHost{Host: child, Sequence: report.Sequence})
			continue
		}
		sum.Current += report.Current
		sum.Lagging = append(sum.Lagging, report.Lagging...)
	}
	sum.Lagging = sum.Lagging[:min(len(sum.Lagging), maxLaggingHosts)]
	return sum
}

// summarizeAtDeadline writes the summary with the lagging hosts once the
// summary deadline has passed. The caller holds mu.
func (s *Service) summarizeAtDeadline(now time.Time, accepted mesh.Sequence) {
	deadlinePassed := now.Sub(s.applied.acceptedAt) >= s.config.Timing.SummaryDeadline
	if s.overlay.Parent == "" && deadlinePassed && s.applied.lastSummary.Sequence != accepted {
		s.summarize(now, s.aggregate(accepted))
	}
}

// summarize writes the summary of the domain once all hosts have the version,
// or once the deadline has passed. The caller holds mu.
func (s *Service) summarize(now time.Time, report applied) {
	if s.config.Summaries == nil || s.applied.writing {
		s.applied.dirty = s.applied.writing
		return
	}
	live := len(overlay.Ranking(s.table.View(), s.config.Self.Domain))
	summary := authority.Summary{
		Domain: report.Domain, Sequence: report.Sequence, Hosts: live,
		AtSequence: report.Current, Lagging: report.Lagging,
	}
	deadlinePassed := now.Sub(s.applied.acceptedAt) >= s.config.Timing.SummaryDeadline
	last := s.applied.lastSummary
	// A root that has just started, or whose table still changes, may know only
	// some of the hosts and would report them as the whole domain.
	if now.Sub(s.membersChangedAt) < quietPeriod && !deadlinePassed {
		s.markReportChanged(now)
		return
	}
	due := last.Sequence != summary.Sequence || (converged(summary) && !converged(last))
	if !due || (!converged(summary) && !deadlinePassed) {
		return
	}
	s.applied.lastSummary, s.applied.writing = summary, true
	s.workers.Add(1)
	go s.writeSummary(summary)
}

// writeSummary retries until the write succeeds or a newer version is accepted.
func (s *Service) writeSummary(summary authority.Summary) {
	defer s.workers.Done()
	delay := s.config.Timing.RedialMin
	for s.ctx.Err() == nil && s.acceptedID().Sequence == summary.Sequence {
		err := s.config.Summaries.WriteSummary(s.ctx, summary)
		if err == nil || errors.Is(err, authority.ErrStaleSummary) {
			break
		}
		eventSummaryFailed.Log(s.config.Logger, "sequence", summary.Sequence, "error", err)
		delay = s.backoff(delay, summaryRetryMax)
		s.sleep(delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied.writing = false
}
