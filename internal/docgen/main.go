// Command docgen writes the pages that are generated from the code: the settings
// reference and the catalogue of log events.
package main

import (
	"fmt"
	"os"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/settings"

	_ "geraniumnotch.example/geraniumnotch/hostnode"
	_ "geraniumnotch.example/geraniumnotch/node"
)

func main() {
	for path, page := range map[string]string{
		"docs/settings.md": settings.Reference(),
		"docs/events.md":   events.Catalogue(),
	} {
		if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
