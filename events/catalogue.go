package events

import (
	"fmt"
	"strings"
)

// Catalogue returns a Markdown page that lists all events.
func Catalogue() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from the definitions in the code by `make docs`; a test compares this page with them. " +
		"Every log line of an event has its number in the field `event`.\n\n" +
		"| number | level | message | meaning and action |\n| --- | --- | --- | --- |\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Action)
	}
	return b.String()
}
