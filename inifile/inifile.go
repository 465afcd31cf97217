// Package inifile parses a strict INI dialect and keeps the line number of every
// section and key, so that settings and lists can report all their problems with
// a position.
// gopkg.in/ini.v1 is not used, because it reports no line numbers, stops at the
// first error, merges duplicate sections silently and expands %(name)s.
package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxLineBytes limits the length of one line, the line break included.
const MaxLineBytes = 4096

// Value is one key of a section with its value.
type Value struct {
	Key  string
	Text string
	Line int
}

// Section is a section with its keys in file order. Each run of white space in
// the name is replaced by one space.
type Section struct {
	Name   string
	Line   int
	Values []Value
}

// Problem is an error in the text or in a value, with what was expected.
type Problem struct {
	Section  string
	Key      string
	Line     int
	Value    string
	Expected string
}

// Error describes the problem on one line.
func (p Problem) Error() string {
	where := fmt.Sprintf("line %d: [%s]", p.Line, p.Section)
	if p.Key != "" {
		where += " " + p.Key
	}
	if p.Value != "" {
		where += fmt.Sprintf(" = %q", p.Value)
	}
	return where + ": expected " + p.Expected
}

// Parse parses the sections of a text of at most maxBytes. Lines that begin with
// # or ; are comments. A duplicate section or key is a problem, because the later
// one would hide the earlier one; only the first one is returned.
func Parse(text []byte, maxBytes int) ([]Section, []Problem) {
	r := reader{sectionLines: map[string]int{}}
	if len(text) > maxBytes {
		r.addProblem("", "", fmt.Sprintf("at most %d bytes of text", maxBytes))
		return nil, r.problems
	}
	for raw := range bytes.Lines(bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))) {
		r.line++
		r.readLine(raw)
	}
	return r.sections, r.problems
}

type reader struct {
	sections []Section
	problems []Problem
	// sectionLines and keyLines hold the line of each section, and of each key of
	// the current section.
	sectionLines map[string]int
	keyLines     map[string]int

	line    int
	section string
	// skipping is set while the lines of a rejected section are skipped.
	skipping bool
}

func (r *reader) readLine(raw []byte) {
	if len(raw) > MaxLineBytes {
		r.addProblem("", "", fmt.Sprintf("a line of at most %d bytes", MaxLineBytes))
		return
	}
	line := strings.TrimSpace(string(raw))
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case !IsPrintable(line):
		r.addProblem("", line, "printable UTF-8 text")
	case line[0] == '[':
		r.readSection(line)
	default:
		r.readKey(line)
	}
}

func (r *reader) readSection(line string) {
	r.skipping, r.section = true, ""
	inner, ok := strings.CutSuffix(line[1:], "]")
	name := strings.Join(strings.Fields(inner), " ")
	if !ok || name == "" {
		r.addProblem("", line, "a section of the form [NAME]")
		return
	}
	r.section = name
	if first, duplicate := r.sectionLines[name]; duplicate {
		r.addProblem("", "", fmt.Sprintf("each section once, it also stands in line %d", first))
		return
	}
	r.skipping = false
	r.sectionLines[name] = r.line
	r.keyLines = map[string]int{}
	r.sections = append(r.sections, Section{Name: name, Line: r.line})
}

func (r *reader) readKey(line string) {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !ok || key == "" {
		r.addProblem("", line, "a section, a comment or a line of the form KEY = VALUE")
		return
	}
	if r.skipping || len(r.sections) == 0 {
		if r.section == "" {
			r.addProblem(key, value, "keys only inside a section")
		}
		return
	}
	if first, duplicate := r.keyLines[key]; duplicate {
		r.addProblem(key, value, fmt.Sprintf("each key once, it also stands in line %d", first))
		return
	}
	r.keyLines[key] = r.line
	current := &r.sections[len(r.sections)-1]
	current.Values = append(current.Values, Value{Key: key, Text: value, Line: r.line})
}

func (r *reader) addProblem(key, value, expected string) {
	r.problems = append(r.problems, Problem{Section: r.section, Key: key, Line: r.line, Value: value, Expected: expected})
}

// IsPrintable reports whether text is valid UTF-8 without control characters.
// Tabs between words are allowed.
func IsPrintable(text string) bool {
	if !utf8.ValidString(text) {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool { return r != '\t' && !unicode.IsPrint(r) })
}
