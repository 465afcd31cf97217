// Package soak runs geraniumnotch-host as several processes on one machine, injects
// faults into them from outside in an order drawn from a seed, and checks the
// promises against what clients and endpoints observe.
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
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	firstSeed   = flag.Uint64("soak.first", 1, "first seed")
	seedCount   = flag.Uint64("soak.seeds", 1, "number of seeds after the regression cases")
	faultPeriod = flag.Duration("soak.length", 6*time.Second, "how long faults are injected for each seed, after half as long a time with planned work only")
	hostCount   = flag.Int("soak.hosts", defaultHosts, "number of hosts, each with a process, from 4 to 100")
)

const (
	defaultHosts = 4
	// maxPrinted is the number of failures of a seed that are printed. The others are in
	// failures.txt beside the logs.
	maxPrinted = 20
)

// regressions are the seeds that once failed, each with the cause. They always run.
var regressions = map[uint64]string{
	1: "logging after the log was closed panicked; a SIGHUP before main ends the process; requests behind the response that closes a draining connection were lost",
	7: "a request that a stopping node read while it ended was lost; as 1, behind the response that closes a draining connection",
}

var hostBinary string

func TestMain(m *testing.M) {
	flag.Parse()
	if *hostCount < defaultHosts || *hostCount > 100 {
		panic("soak.hosts must be from 4 to 100")
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	hostBinary = filepath.Join(dir, "geraniumnotch-host")
	build := exec.Command("go", "build", "-o", hostBinary, "../cmd/geraniumnotch-host")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	_ = os.RemoveAll(dir) // Files left in the temporary directory are harmless.
	os.Exit(status)
}

// Guards against promises that hold only without faults: no call is executed twice,
// a call reported as not executed was not executed, responses are complete and
// belong to their calls, a new plan is active within planDeadline and is never
// replaced by an older one, planned work loses no call, pipelined ones included, an
// endpoint gets no more calls than it takes and none after it has left, and all services are available again within recoveryTimeout of the last fault.
func TestPromisesUnderFaults(t *testing.T) {
	run := func(seed uint64, cause string) {
		Convey(fmt.Sprintf("seed %d %s", seed, cause), t, func() {
			dir := t.TempDir()
			failures, summary := runSeed(dir, seed, *faultPeriod)
			t.Logf("seed %d: %s", seed, summary)
			if len(failures) > 0 {
				logDir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%d", seed, os.Getpid()))
				if err := os.WriteFile(filepath.Join(dir, "failures.txt"), []byte(strings.Join(failures, "\n")), 0o600); err != nil {
					panic(err)
				}
				t.Logf("seed %d, %d failures, logs in %s (copied: %v):\n%s", seed, len(failures), logDir, os.CopyFS(logDir, os.DirFS(dir)), strings.Join(failures[:min(len(failures), maxPrinted)], "\n"))
			}
			So(len(failures), ShouldEqual, 0)
		})
	}
	for _, seed := range slices.Sorted(maps.Keys(regressions)) {
		run(seed, regressions[seed])
	}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		if regressions[seed] == "" {
			run(seed, "")
		}
	}
}

// runSeed starts a cluster, injects the faults of a seed while clients call it, and
// returns the violated promises and a summary of the calls.
func runSeed(dir string, seed uint64, faultPeriod time.Duration) (failures []string, summary string) {
	c := newCluster(dir, rand.New(rand.NewPCG(seed, 0)), *hostCount, hasWorkspaces(seed))
	defer c.close()
	go c.recordStalls()
	if !c.awaitServing() {
		return c.fail("start: not all hosts serve both services within %v", recoveryTimeout), c.summary()
	}
	c.limitRate(rand.New(rand.NewPCG(seed, rateStream)))
	stopClients := c.startClients(seed)
	var running sync.WaitGroup
	running.Go(func() { c.silenceConnections(rand.New(rand.NewPCG(seed, silenceStream)), faultPeriod) })
	running.Go(func() { c.injectPlannedWork(rand.New(rand.NewPCG(seed, plannedStream)), faultPeriod*3/2) })
	running.Go(func() { c.replaceEndpoint(rand.New(rand.NewPCG(seed, departureStream))) })
	time.Sleep(faultPeriod / 2)
	c.injectFaults(faultPeriod)
	running.Wait()
	if !c.awaitServing() {
		c.fail("recovery: not all hosts serve both services within %v of the last fault", recoveryTimeout)
	}
	stopClients()
	return c.checkCalls(), c.summary()
}
