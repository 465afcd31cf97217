package lists

import (
	"bytes"
	"fmt"
)

// Parse parses the text of both lists and validates them together. The error is a
// *ProblemsError with every problem of both lists. docs/lists.md describes the
// format.
func Parse(plans, allowances []byte) (Lists, error) {
	found := &problems{}
	parsed, positions := Lists{}, map[EntryKey]entryLines{}
	for _, source := range []struct {
		list ListName
		text []byte
	}{{ListPlans, plans}, {ListAllowances, allowances}} {
		s := scanner{list: source.list, entries: parsed, positions: positions, problems: found}
		s.scan(source.text)
	}
	compile(parsed, positions, found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// Format returns the text of both lists in canonical order. Parse returns l for
// this text when l is valid.
func Format(l Lists) (plans, allowances []byte) {
	out := map[ListName]*bytes.Buffer{ListPlans: {}, ListAllowances: {}}
	for _, key := range l.Keys() {
		b, ok := out[key.List]
		if !ok {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('\n')
		}
		formatEntry(b, key, l[key])
	}
	return out[ListPlans].Bytes(), out[ListAllowances].Bytes()
}

func formatEntry(b *bytes.Buffer, key EntryKey, fields Fields) {
	fmt.Fprintf(b, "[%s]\n", key)
	for _, name := range schemas[key.Kind].fields {
		if value, ok := fields[name]; ok {
			fmt.Fprintf(b, "%s = %s\n", name, value)
		}
	}
}
