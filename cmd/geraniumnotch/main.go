// Command geraniumnotch is the command line tool of the operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"geraniumnotch.example/geraniumnotch/cli"

	_ "geraniumnotch.example/geraniumnotch/devmesh"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
