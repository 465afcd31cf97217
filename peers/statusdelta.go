package peers

import (
	"math"
	"slices"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// classTolerance is the change of the service time of a class, as a fraction, from
	// which it is reported again after classInterval. A change by urgentClassTolerance or
	// more is reported with the next report.
	classTolerance       = 0.2
	urgentClassTolerance = 0.6
	classInterval        = 5 * time.Second
	// maxReportedCalls and maxReportedDelay bound the numbers of a delta.
	maxReportedCalls = 1 << 20
	maxReportedDelay = time.Hour
)

// statusDelta holds the fields of a status report that change all the time. The others
// are those of the latest whole report on the link. It takes about a fifth of the bytes.
type statusDelta struct {
	_ struct{} `cbor:",toarray"`
	// SentAtMs is Status.SentAt in milliseconds.
	SentAtMs    int64
	PlanVersion uint64
	// ReadNumber is Status.PlanRead.Number, 0 without a read. ReadAgeMs is
	// Status.PlanReadAge.
	ReadNumber uint64
	ReadAgeMs  int64
	Running    int
	Waiting    int
	// MeanServiceMs is EndpointStatus.MeanServiceTime, rounded up.
	MeanServiceMs  int64
	FailurePercent int
}

func milliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// newStatusDelta returns the status as a delta to a whole report with which hasBase holds.
func newStatusDelta(s *Status) statusDelta {
	d := statusDelta{SentAtMs: int64(s.SentAt / boottime.Time(time.Millisecond)), PlanVersion: s.PlanVersion, ReadNumber: s.PlanRead.Number, ReadAgeMs: milliseconds(s.PlanReadAge)}
	if e := s.Endpoint; e != nil {
		d.Running, d.Waiting, d.MeanServiceMs, d.FailurePercent = e.Running, e.Waiting, milliseconds(e.MeanServiceTime), e.FailurePercent
	}
	return d
}

// isValid reports whether the numbers are in range.
func (d *statusDelta) isValid() bool {
	maxMs := maxReportedDelay.Milliseconds()
	return d.SentAtMs >= 0 && d.SentAtMs < math.MaxInt64/int64(time.Millisecond) && d.ReadAgeMs >= 0 && d.ReadAgeMs <= maxMs &&
		d.Running >= 0 && d.Running <= maxReportedCalls && d.Waiting >= 0 && d.Waiting <= maxReportedCalls &&
		d.MeanServiceMs >= 0 && d.MeanServiceMs <= maxMs && d.FailurePercent >= 0 && d.FailurePercent <= 100
}

// apply returns the status that results from a whole report and the delta.
func (d *statusDelta) apply(base *Status) Status {
	s := *base
	s.Record, s.LimitedEndpoint, s.ReceiverDeparted, s.ReceiverEndpoint, s.Rollouts = nil, nil, nil, nil, nil
	s.SentAt = boottime.Time(d.SentAtMs) * boottime.Time(time.Millisecond)
	s.PlanVersion = d.PlanVersion
	s.PlanRead.Number = d.ReadNumber
	if d.ReadNumber == 0 {
		s.PlanRead = plansync.Stamp{}
	}
	s.PlanReadAge = time.Duration(d.ReadAgeMs) * time.Millisecond
	if base.Endpoint != nil {
		e := *base.Endpoint
		e.Running, e.Waiting, e.FailurePercent = d.Running, d.Waiting, d.FailurePercent
		e.MeanServiceTime = time.Duration(d.MeanServiceMs) * time.Millisecond
		s.Endpoint = &e
	}
	return s
}

// hasBase reports whether the status can be sent as a delta to the base: all other fields
// are equal, but for the service times of classes.
func hasBase(s, base *Status) bool {
	sameRead := s.PlanRead == plansync.Stamp{} || s.PlanRead.Number != 0 && s.PlanRead.Reader == base.PlanRead.Reader && s.PlanRead.Recoveries == base.PlanRead.Recoveries
	if s.Draining != base.Draining || s.StoreEpoch != base.StoreEpoch || !sameRead || (s.SentAt == 0) != (base.SentAt == 0) ||
		(s.Endpoint == nil) != (base.Endpoint == nil) || !slices.Equal(s.Departed, base.Departed) {
		return false
	}
	e, b := s.Endpoint, base.Endpoint
	return e == nil || e.ID == b.ID && e.Service == b.Service && e.Slots == b.Slots && e.Cold == b.Cold &&
		e.CallsPerSecond == b.CallsPerSecond && e.StartedAtMs == b.StartedAtMs && e.Software == b.Software
}

// reportsClasses reports whether the service times of classes must be sent again, since
// the time of the base. They vary all the time, and the mean of all calls is in each report.
func reportsClasses(s, base *Status, sinceBase time.Duration) bool {
	if s.Endpoint == nil {
		return false
	}
	if sinceBase >= classInterval {
		return len(s.Endpoint.Classes) != len(base.Endpoint.Classes) || classesDiffer(s.Endpoint.Classes, base.Endpoint.Classes, classTolerance)
	}
	return classesDiffer(s.Endpoint.Classes, base.Endpoint.Classes, urgentClassTolerance)
}

// classesDiffer reports whether the service time of a class that is in both differs by
// more than the tolerance.
func classesDiffer(a, b []ClassStatus, tolerance float64) bool {
	return slices.ContainsFunc(a, func(c ClassStatus) bool {
		return slices.ContainsFunc(b, func(other ClassStatus) bool {
			return c.Kind == other.Kind && c.Rank == other.Rank && c.Nested == other.Nested &&
				math.Abs(float64(c.ServiceTime-other.ServiceTime)) > tolerance*float64(other.ServiceTime)
		})
	})
}

// sentStatus is the status that deltas refer to. The links that have got it, or a later one
// to which hasBase applies, as a whole report have its number.
type sentStatus struct {
	base   Status
	number uint64
	at     time.Time
}

// statusFrames encodes the status once as a whole and once as a delta, as needed.
type statusFrames struct {
	status       *Status
	whole, delta []byte
}

func (f *statusFrames) encodeWhole() ([]byte, error) {
	var err error
	if f.whole == nil {
		f.whole, err = transport.EncodeFrame(transport.KindHostStatus, f.status)
	}
	return f.whole, err
}

func (f *statusFrames) encodeDelta() ([]byte, error) {
	var err error
	if f.delta == nil {
		f.delta, err = transport.EncodeFrame(transport.KindHostStatusDelta, newStatusDelta(f.status))
	}
	return f.delta, err
}
