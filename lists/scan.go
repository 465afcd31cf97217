package lists

import (
	"strings"

	"geraniumnotch.example/geraniumnotch/inifile"
)

// MaxTextBytes limits the size of one list's text.
const MaxTextBytes = 2 * MaxBodyBytes

// entryLines holds the line numbers of an entry's section and fields.
type entryLines struct {
	section int
	fields  map[string]int
}

// scanner converts the sections of one list's text into entries.
type scanner struct {
	list      ListName
	entries   Lists
	positions map[EntryKey]entryLines
	problems  *problems
}

func (s *scanner) scan(text []byte) {
	sections, parseProblems := inifile.Parse(text, MaxTextBytes)
	for _, p := range parseProblems {
		s.problems.add(Problem{List: s.list, Entry: p.Section, Key: p.Key, Line: p.Line, Value: p.Value, Expectation: p.Expected})
	}
	for _, section := range sections {
		s.addEntry(section)
	}
}

func (s *scanner) addEntry(section inifile.Section) {
	kind, name, ok := strings.Cut(section.Name, " ")
	if !ok || strings.Contains(name, " ") {
		s.addProblem(section, "a section of the form [KIND NAME]")
		return
	}
	key := EntryKey{List: s.list, Kind: EntryKind(kind), Name: name}
	if schemas[key.Kind].list != s.list {
		s.addProblem(section, kindsExpectation(s.list))
		return
	}
	fields, fieldLines := Fields{}, map[string]int{}
	for _, value := range section.Values {
		fields[value.Key], fieldLines[value.Key] = value.Text, value.Line
	}
	s.entries[key] = fields
	s.positions[key] = entryLines{section: section.Line, fields: fieldLines}
}

func (s *scanner) addProblem(section inifile.Section, expectation string) {
	s.problems.add(Problem{List: s.list, Entry: section.Name, Line: section.Line, Expectation: expectation})
}
