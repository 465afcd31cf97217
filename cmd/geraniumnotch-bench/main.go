// Command geraniumnotch-bench runs load and failure experiments on loopback.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/node"

	_ "geraniumnotch.example/geraniumnotch/bench/experiments"
)

func main() {
	node.TuneSharedRuntime()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := bench.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
