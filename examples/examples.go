// Package examples contains the settings and lists of two sample deployments. The
// documentation and the dev command use them.
package examples

import (
	"embed"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/lists"
)

//go:embed laronda/*.ini skovgaard/*.ini
var files embed.FS

// Lists returns the lists of a sample deployment, laronda or skovgaard.
func Lists(deployment string) (lists.Lists, error) {
	plans, err := files.ReadFile(deployment + "/plans.ini")
	if err != nil {
		return nil, errors.Wrap(err, "examples: read plans")
	}
	allowances, err := files.ReadFile(deployment + "/allowances.ini")
	if err != nil {
		return nil, errors.Wrap(err, "examples: read allowances")
	}
	return lists.Parse(plans, allowances)
}
