package gate

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// ErrBadLoad reports a load header that does not follow the format of
// Load.String.
var ErrBadLoad = errors.New("gate: malformed load")

// maxPressure is the highest pressure that a gate reports or accepts from a header,
// so that one wrong report cannot dominate an average.
const maxPressure = 100.0

// Load is the load of one endpoint. Pressure 0 means no load, 1 means at the
// limit, more means overload.
type Load struct {
	InUse, Slots, Queued int
	// QueueDelay is the recent average queueing delay of the calls that got a slot,
	// of the rank in which it is longest.
	QueueDelay time.Duration
	// Pressure is the highest pressure of all ranks. An admission controller
	// that decides about one rank uses For, because a flood of bulk calls raises
	// Pressure while urgent calls are served without delay.
	Pressure float64
	// ByRank is the pressure on the calls of each rank.
	ByRank [mesh.RankCount]float64
}

// For returns the pressure on calls of the rank.
func (l Load) For(rank mesh.Rank) float64 {
	if int(rank) >= len(l.ByRank) {
		return l.Pressure
	}
	return l.ByRank[rank]
}

// loadFields is the number of fields of a load header; Load.String names them.
const loadFields = 5 + mesh.RankCount

// String returns the load as a header value of comma-separated integers: in
// use, slots, queued, queue delay in microseconds, then pressure and the
// pressure of each rank in hundredths.
func (l Load) String() string {
	b := make([]byte, 0, 48)
	for _, n := range [...]int64{int64(l.InUse), int64(l.Slots), int64(l.Queued), l.QueueDelay.Microseconds()} {
		b = append(strconv.AppendInt(b, n, 10), ',')
	}
	b = strconv.AppendInt(b, pressureToHundredths(l.Pressure), 10)
	for _, p := range l.ByRank {
		b = strconv.AppendInt(append(b, ','), pressureToHundredths(p), 10)
	}
	return string(b)
}

// pressureToHundredths rounds up, so that a pressure above the limit stays above it.
func pressureToHundredths(p float64) int64 {
	return int64(math.Ceil(min(max(p, 0), maxPressure)*100 - 1e-9))
}

// ParseLoad parses a header value in the format of Load.String. Errors wrap ErrBadLoad.
func ParseLoad(text string) (Load, error) {
	if strings.Count(text, ",") != loadFields-1 {
		return Load{}, errors.Wrapf(ErrBadLoad, "want %d fields", loadFields)
	}
	var n [loadFields]int64
	rest := text
	for i := range n {
		var field string
		field, rest, _ = strings.Cut(rest, ",")
		v, err := strconv.ParseInt(field, 10, 32)
		if err != nil || v < 0 {
			return Load{}, errors.Wrapf(ErrBadLoad, "field %d is %q, want a number from 0 to %d", i+1, field, math.MaxInt32)
		}
		n[i] = v
	}
	l := Load{InUse: int(n[0]), Slots: int(n[1]), Queued: int(n[2]), QueueDelay: time.Duration(n[3]) * time.Microsecond}
	l.Pressure = pressureFromHundredths(n[4])
	for i := range l.ByRank {
		l.ByRank[i] = pressureFromHundredths(n[5+i])
	}
	return l, nil
}

func pressureFromHundredths(hundredths int64) float64 {
	return min(float64(hundredths)/100, maxPressure)
}
