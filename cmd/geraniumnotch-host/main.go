// Command geraniumnotch-host is the node that runs beside an endpoint on the
// users' platform.
package main

import (
	"os"

	"geraniumnotch.example/geraniumnotch/hostnode"
)

func main() { os.Exit(hostnode.Main(os.Args[1:], os.Stdout, os.Stderr)) }
