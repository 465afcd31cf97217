// Command rig plays the script cases of this review: a small deployment of
// geraniumnotch-host with stand-ins of the store, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var cases = map[string]func(binary, out string, trouble bool) int{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		unable("usage: rig CASE BINARY FOLDER")
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() { unable("%v", <-interrupted) }()
	trouble := os.Getenv("TROUBLE") != "0"
	status := cases[os.Args[1]](os.Args[2], os.Args[3], trouble)
	fmt.Printf("case %s, trouble %v: exit status %d\n", os.Args[1], trouble, status)
	os.Exit(status)
}
