package lists

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"geraniumnotch.example/geraniumnotch/inifile"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Limits and defaults of field values.
const (
	// MaxRate is the highest rate in requests per second; the whole mesh serves
	// 130,000 calls per second.
	MaxRate = 1_000_000.0
	minRate = 0.001
	// MaxBurst, MaxConcurrency and MaxQueueLimit are numbers of calls.
	MaxBurst       = 1_000_000
	MaxConcurrency = 1_000_000
	MaxQueueLimit  = 100_000
	MinDeadline    = time.Millisecond
	MaxDeadline    = 24 * time.Hour
	// MaxPathBytes is the size of the longest path prefix of a route.
	MaxPathBytes = 256

	// DefaultOtherShare and DefaultLongShare are fractions of an endpoint's slots,
	// DefaultMaxQueue is a number of calls.
	DefaultOtherShare = 0.2
	DefaultLongShare  = 0.5
	DefaultMaxQueue   = 100
)

// reader decodes the fields of one entry and reports the invalid ones. Its
// methods return the zero value for an invalid field.
type reader struct {
	key      EntryKey
	fields   Fields
	lines    entryLines
	problems *problems
}

func (r *reader) addProblem(field, value, expectation string) {
	line := r.lines.section
	if fieldLine, ok := r.lines.fields[field]; ok {
		line = fieldLine
	}
	r.problems.add(Problem{
		List: r.key.List, Entry: r.key.String(), Key: field, Line: line, Value: value, Expectation: expectation,
	})
}

// text returns the value of a required field and reports it when it is missing
// or empty.
func (r *reader) text(field string) string {
	value, ok := r.fields[field]
	switch {
	case !ok:
		r.addProblem(field, "", "the key, it is missing")
	case value == "":
		r.addProblem(field, "", "a value, it is empty")
	}
	return value
}

// number decodes a field whose value must lie between low and high. A nil
// defaultValue makes the field required.
func number[T int | float64](r *reader, field string, low, high T, defaultValue *T, parse func(string) (T, error)) T {
	if _, ok := r.fields[field]; !ok && defaultValue != nil {
		return *defaultValue
	}
	text := r.text(field)
	if text == "" {
		return 0
	}
	value, err := parse(text)
	if err != nil || value < low || value > high {
		r.addProblem(field, text, fmt.Sprintf("a number from %v to %v", low, high))
		return 0
	}
	return value
}

func (r *reader) float(field string, low, high float64, defaultValue *float64) float64 {
	return number(r, field, low, high, defaultValue, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if math.IsNaN(value) {
			return 0, strconv.ErrRange
		}
		return value, err
	})
}

func (r *reader) integer(field string, low, high int, defaultValue *int) int {
	return number(r, field, low, high, defaultValue, strconv.Atoi)
}

// boolean decodes an optional field whose default is false.
func (r *reader) boolean(field string) bool {
	value, ok := r.fields[field]
	if ok && value != "true" && value != "false" {
		r.addProblem(field, value, "true or false")
	}
	return value == "true"
}

func (r *reader) duration(field string, low, high time.Duration) time.Duration {
	text := r.text(field)
	if text == "" {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		r.addProblem(field, text, fmt.Sprintf("a duration from %v to %v, for example 150ms or 5m", low, high))
		return 0
	}
	return value
}

func (r *reader) rank(field string) mesh.Rank {
	text := r.text(field)
	if text == "" {
		return 0
	}
	rank, err := mesh.ParseRank(text)
	if err != nil {
		r.addProblem(field, text, "urgent, standard or bulk")
	}
	return rank
}

func (r *reader) sha256(field string) (sum [32]byte) {
	text := r.text(field)
	if text == "" {
		return sum
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(sum) || [32]byte(raw) == sum {
		r.addProblem(field, text, "the SHA-256 of the token in 64 hexadecimal digits")
		return sum
	}
	return [32]byte(raw)
}

func (r *reader) pathPrefix(field string) string {
	text := r.text(field)
	if text == "" {
		return ""
	}
	if len(text) > MaxPathBytes || !isCleanPath(text) || !inifile.IsPrintable(text) || strings.ContainsAny(text, " \t?#%") {
		r.addProblem(field, text, fmt.Sprintf(
			"a path that begins with / and has no empty or dot segments, spaces, ?, # or %%, of at most %d bytes",
			MaxPathBytes))
		return ""
	}
	return text
}
