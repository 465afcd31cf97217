// Package soak runs the real programs as separate processes on one machine, harms
// them from outside by a seeded plan, and checks the promises from what clients
// and endpoints see.
//
//	go test ./soak -count=1 -soak.seeds=50 -soak.first=100
//
// docs/design/soak.md lists the faults and the promises.
package soak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	first  = flag.Uint64("soak.first", 1, "first seed")
	seeds  = flag.Uint64("soak.seeds", 1, "number of seeds after the regression cases")
	length = flag.Duration("soak.length", 6*time.Second, "time of the faults of a seed")
)

// regressions are the seeds that failed once, each with its cause.
var regressions = map[uint64]string{
	1: "a log line after the log was closed was a panic; SIGHUP before main ends a process",
	7: "a request that was read while a stopping node ended was lost",
}

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "geraniumnotch-host")
	build := exec.Command("go", "build", "-o", program, "../cmd/geraniumnotch-host")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	_ = os.RemoveAll(dir) // A leftover in the temporary directory does no harm.
	os.Exit(status)
}

// Guards against promises that hold only while nothing fails: no call runs twice,
// "not run" is true, answers belong to their calls and are whole, a new plan is in
// force in time and never goes back, a planned stop loses nothing, and all is
// served again soon after the last fault.
func TestPromisesUnderFaults(t *testing.T) {
	run := func(seed uint64, why string) {
		Convey(fmt.Sprintf("seed %d %s", seed, why), t, func() {
			dir := t.TempDir()
			problems := play(dir, seed, *length)
			if len(problems) > 0 {
				kept := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%d", seed, os.Getpid()))
				t.Logf("seed %d, logs in %s (copied: %v):\n%s", seed, kept, os.CopyFS(kept, os.DirFS(dir)), strings.Join(problems, "\n"))
			}
			So(problems, ShouldBeEmpty)
		})
	}
	for _, seed := range slices.Sorted(maps.Keys(regressions)) {
		run(seed, regressions[seed])
	}
	for seed := *first; seed < *first+*seeds; seed++ {
		if regressions[seed] == "" {
			run(seed, "")
		}
	}
}

// play runs one seed and returns the broken promises.
func play(dir string, seed uint64, length time.Duration) []string {
	w := newWorld(dir, rand.New(rand.NewPCG(seed, 0)))
	defer w.close()
	if !w.settle() {
		return w.fail("start: not all hosts serve both services within %v", settleTime)
	}
	stop := w.traffic()
	w.harm(length)
	w.heal()
	if !w.settle() {
		w.fail("recovery: not all hosts serve both services within %v of the last fault", settleTime)
	}
	stop()
	return w.judge()
}
