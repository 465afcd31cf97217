// Command geraniumnotchd is the node that runs on every endpoint host.
package main

import (
	"os"

	"geraniumnotch.example/geraniumnotch/daemon"

	_ "geraniumnotch.example/geraniumnotch/kvstore/httpstore"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
