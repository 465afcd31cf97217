package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, began: time.Now()}
}

// add writes a line with the seconds since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // The exit status does not depend on the record.
}

// atExit ends the processes of the case.
var atExit = func() {}

// unable ends the program because the case cannot run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	atExit()
	os.Exit(exitUnable)
}

func check(err error) {
	if err != nil {
		unable("%v", err)
	}
}
