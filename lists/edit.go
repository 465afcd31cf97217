package lists

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrConflict marks every error of Apply that reports an edit whose entry has
// changed since the edit was made.
var ErrConflict = errors.New("lists: the entry was changed by someone else")

// Conflict is an edit whose Before differs from the entry in the base.
type Conflict struct {
	Key EntryKey `json:"key"`
	// Before is the value that the edit was made from, Found the value in the
	// base and Wanted the value that the edit sets. Nil means no entry.
	Before Fields `json:"before,omitzero"`
	Found  Fields `json:"found,omitzero"`
	Wanted Fields `json:"wanted,omitzero"`
}

// ConflictError reports all conflicts of a set of edits with its base.
type ConflictError struct {
	Conflicts []Conflict
}

// Error shows both values of each conflict.
func (e *ConflictError) Error() string {
	parts := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		parts[i] = fmt.Sprintf("%s [%s]: now %s, wanted %s", c.Key.List, c.Key, c.Found, c.Wanted)
	}
	return ErrConflict.Error() + ": " + strings.Join(parts, "; ")
}

// Is reports that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// String returns the fields in one line, in the order of their names.
func (f Fields) String() string {
	if f == nil {
		return "no entry"
	}
	parts := make([]string, 0, len(f))
	for _, name := range slices.Sorted(maps.Keys(f)) {
		parts = append(parts, name+" = "+f[name])
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// Diff returns the edits that turn from into to, in canonical order.
func Diff(from, to Lists) []Edit {
	var edits []Edit
	for key, before := range from {
		after, kept := to[key]
		if !kept {
			edits = append(edits, Edit{Key: key, Before: before})
		} else if !maps.Equal(before, after) {
			edits = append(edits, Edit{Key: key, Before: before, After: after})
		}
	}
	for key, after := range to {
		if _, known := from[key]; !known {
			edits = append(edits, Edit{Key: key, After: after})
		}
	}
	return SortEdits(edits)
}

// Apply returns a copy of base with the edits applied. Entries that no edit
// names are copied from base. The error is a *ConflictError with every edit
// whose Before differs from the entry in base, or ErrInvalid when two edits
// name the same entry. Apply does not validate the result; Compile does.
func Apply(base Lists, edits []Edit) (Lists, error) {
	result := maps.Clone(base)
	if result == nil {
		result = Lists{}
	}
	seen := make(map[EntryKey]bool, len(edits))
	var conflicts []Conflict
	for _, e := range edits {
		if seen[e.Key] {
			return nil, errors.Wrapf(ErrInvalid, "two edits of [%s]", e.Key)
		}
		seen[e.Key] = true
		if found := base[e.Key]; !sameEntry(found, e.Before) {
			conflicts = append(conflicts, Conflict{Key: e.Key, Before: e.Before, Found: found, Wanted: e.After})
			continue
		}
		if e.After == nil {
			delete(result, e.Key)
		} else {
			result[e.Key] = e.After
		}
	}
	if len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	return result, nil
}

// Invert returns the edits that undo edits.
func Invert(edits []Edit) []Edit {
	inverse := make([]Edit, len(edits))
	for i, e := range edits {
		inverse[i] = Edit{Key: e.Key, Before: e.After, After: e.Before}
	}
	return inverse
}

// sameEntry distinguishes an absent entry from one without fields.
func sameEntry(a, b Fields) bool {
	return (a == nil) == (b == nil) && maps.Equal(a, b)
}

// SortEdits returns a copy of the edits in canonical order.
func SortEdits(edits []Edit) []Edit {
	sorted := slices.Clone(edits)
	slices.SortStableFunc(sorted, func(a, b Edit) int { return compareKeys(a.Key, b.Key) })
	return sorted
}
