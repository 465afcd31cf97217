// Package devmesh adds the dev command to the operators' command line: an
// embedded mesh in one process, to try the system by hand or as a demonstration.
package devmesh

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/cli"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/examples"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func init() {
	cli.Register(cli.Command{
		Name:  "dev",
		Short: "Run an embedded mesh in this process",
		Long: "Runs a stand-in of the platform's service, nodes in three failure domains and sample endpoints in " +
			"one process over loopback sockets, until it is interrupted. With --demo it shows an edit of the lists " +
			"and calls on both sample deployments, and exits.",
		New: func(app *cli.App) flags.Commander { return &command{app: app} },
	})
}

// hostCount is the number of hosts of a sample mesh.
const hostCount = 11

// startTimeout is the time limit for the start of a sample mesh.
const startTimeout = time.Minute

type command struct {
	app        *cli.App
	Demo       bool   `long:"demo" description:"Run the demonstration and exit"`
	Deployment string `long:"deployment" default:"laronda" choice:"laronda" choice:"skovgaard" description:"Shape of the mesh"`
	Verbose    bool   `long:"verbose" description:"Log the events of all nodes to standard error"`
}

// Execute runs the mesh until it is interrupted, or the demonstration on both
// deployments.
func (c *command) Execute([]string) error {
	if !c.Demo {
		return c.serveUntilStopped()
	}
	for _, deployment := range []string{"laronda", "skovgaard"} {
		if err := c.runDemo(deployment); err != nil {
			return errors.Wrapf(err, "demonstration on %s", deployment)
		}
	}
	fmt.Fprintln(c.app.Stdout, "\ndemonstration passed")
	return nil
}

// startMesh starts a mesh of the deployment's shape with its example lists.
func (c *command) startMesh(deployment string) (*emulator.Mesh, error) {
	shape, err := emulator.NamedDeployment(deployment)
	if err != nil {
		return nil, err
	}
	exampleLists, err := examples.Lists(deployment)
	if err != nil {
		return nil, err
	}
	logger := hclog.NewNullLogger()
	if c.Verbose {
		logger = hclog.New(&hclog.LoggerOptions{Output: c.app.Stderr, Level: hclog.Info})
	}
	ctx, cancel := context.WithTimeout(c.app.Context, startTimeout)
	defer cancel()
	return emulator.StartMesh(ctx, emulator.MeshConfig{
		Deployment: shape, Nodes: hostCount, Lists: exampleLists, HTTPStore: true, Logger: logger, Record: emulator.NewRecord(false),
		Behavior: func(mesh.ServiceName) emulator.Behavior { return emulator.Behavior{ServiceTime: 5 * time.Millisecond} },
	})
}

func (c *command) serveUntilStopped() error {
	m, err := c.startMesh(c.Deployment)
	if err != nil {
		return err
	}
	defer m.Close()
	printHosts(c.app.Stdout, m)
	first := m.Hosts[0].Settings.Listen
	fmt.Fprintf(c.app.Stdout, "\nTry, in another terminal:\n"+
		"  curl -i -H 'Authorization: Bearer %s' http://%s%s/1\n"+
		"  geraniumnotch --address %s status\n"+
		"Stop with Ctrl-C.\n", exampleTokens[c.Deployment], first.Entry, lookupPaths[c.Deployment], first.Operator)
	<-c.app.Context.Done()
	return nil
}

// exampleTokens and lookupPaths are a token and the path of a route of each
// deployment in the example lists.
var (
	exampleTokens = map[string]string{"laronda": "laronda-example-drivers", "skovgaard": "skovgaard-example-makers"}
	lookupPaths   = map[string]string{"laronda": "/routes", "skovgaard": "/catalogue"}
)

func printHosts(w io.Writer, m *emulator.Mesh) {
	fmt.Fprintf(w, "%-9s %-8s %-13s %-21s %-21s\n", "host", "domain", "service", "entry", "operator")
	for _, h := range m.Hosts {
		fmt.Fprintf(w, "%-9s %-8s %-13s %-21s %-21s\n", h.ID, h.Domain, h.Service, h.Settings.Listen.Entry, h.Settings.Listen.Operator)
	}
}
