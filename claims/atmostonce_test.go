package claims

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// TestMain fixes the seed of rapid, so that every run checks the same scripts, and
// the number of scripts, unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessChanged("rapid.seed", "1299")
	setUnlessChanged("rapid.checks", "1000")
	os.Exit(m.Run())
}

func setUnlessChanged(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

const (
	scriptHosts     = 4
	scriptDomains   = 2
	scriptKeys      = 4
	scriptRetention = time.Minute
)

// action is one step of a script. Its kind determines which fields are used and what
// alternative means.
type action struct {
	kind        string
	host        int
	key         int
	ratio       float64
	wait        time.Duration
	alternative bool
}

// actionKinds are the kinds to draw from; those listed several times are drawn more
// often.
var actionKinds = []string{
	"claim", "claim", "claim", "claim", "finish", "finish", "sleep", "sleep",
	"faults", "late", "lose", "pause", "network", "isolate", "clean", "heal",
}

func drawAction(t *rapid.T) action {
	milliseconds := rapid.SampledFrom([]int{1, 4, 9, 30, 100, 700, 3000, 20_000, 70_000})
	return action{
		kind:        rapid.SampledFrom(actionKinds).Draw(t, "kind"),
		host:        rapid.IntRange(0, scriptHosts-1).Draw(t, "host"),
		key:         rapid.IntRange(0, scriptKeys-1).Draw(t, "key"),
		ratio:       rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "ratio"),
		wait:        time.Duration(milliseconds.Draw(t, "ms")) * time.Millisecond,
		alternative: rapid.Bool().Draw(t, "second"),
	}
}

// grant is a granted claim that was neither released nor completed.
type grant struct {
	key   int
	claim *Claim
}

// harness runs a script against several hosts and records when a key is granted twice.
type harness struct {
	store    *memory.Store
	network  *network
	routers  []*Router
	paused   [scriptHosts]atomic.Int64
	begin    time.Time
	requests []Request
	inFlight sync.WaitGroup

	mu         sync.Mutex
	granted    [scriptKeys]bool
	executed   [scriptKeys]bool
	openGrants []grant
	grants     int
	violation  string
}

// newHarness returns hosts whose clocks differ from the real time by skews. With
// oneEntrySegments each key has a segment of its own.
func newHarness(skews []time.Duration, oneEntrySegments bool) (*harness, error) {
	h := &harness{store: newMemoryStore(), begin: time.Now()}
	// All keys are in one shard, and all but the last in one bucket.
	h.requests = requestsOfOneShard(scriptKeys, h.begin)
	h.requests[scriptKeys-1].IssuedAt = h.begin.Add(BucketDuration)
	segmentBytes := DefaultMaxSegmentBytes
	if oneEntrySegments {
		segmentBytes = headerBytes + entryBytes
	}
	var claimers []*Claimer
	for i := range scriptHosts {
		c, err := New(Config{
			Store:            &hookStore{Store: h.store, before: func(kvstore.CallKind, string) { h.pauseHost(i) }},
			MinBatchInterval: testInterval, Retention: scriptRetention, MaxFuture: time.Hour,
			MaxSegmentBytes: segmentBytes,
			Now:             func() time.Time { return time.Now().Add(skews[i]) },
		})
		if err != nil {
			return nil, err
		}
		claimers = append(claimers, c)
	}
	var err error
	h.network, h.routers, err = newNetworkInDomains(scriptDomains, claimers...)
	return h, err
}

// pauseHost delays a call to the store until the end of the host's pause, like that of
// a paused process.
func (h *harness) pauseHost(i int) {
	time.Sleep(time.Until(time.UnixMilli(h.paused[i].Load())))
}

func (h *harness) run(a action) {
	switch a.kind {
	case "claim":
		h.inFlight.Go(func() { h.claim(a) })
	case "finish":
		h.finishOldest(a)
	case "sleep":
		time.Sleep(a.wait)
	case "faults":
		h.store.SetFaults(memory.Faults{
			Latency: a.wait / 100, LostAnswerRatio: a.ratio, LostRequestRatio: a.ratio / 2, Unavailable: a.alternative,
		})
	case "late":
		h.store.DelayNextWrites(1+a.key, a.wait)
	case "lose":
		h.store.LoseNextResponses(1 + a.key)
	case "pause":
		h.paused[a.host].Store(time.Now().Add(a.wait).UnixMilli())
	case "network":
		h.network.setDelay(h.unevenDelay(a))
	case "isolate":
		h.network.isolate(h.routers[a.host].config.Self)
	case "clean":
		h.inFlight.Go(func() { h.clean(a.host) })
	case "heal":
		h.heal()
	}
}

// unevenDelay delays every other message by the action's wait, or drops it.
func (h *harness) unevenDelay(a action) func(mesh.HostID, transport.Kind) time.Duration {
	turn := 0
	return func(mesh.HostID, transport.Kind) time.Duration {
		turn++
		if turn%2 == 0 {
			return time.Millisecond
		}
		if a.alternative {
			return -1
		}
		return a.wait
	}
}

func (h *harness) heal() {
	h.store.SetFaults(memory.Faults{Latency: 4 * time.Millisecond})
	h.network.setDelay(constantDelay(time.Millisecond))
	h.network.isolate()
}

// path returns the function that claims a key: through the owner, or directly, as
// happens when hosts see different owners.
func (h *harness) path(a action) func(context.Context, Request) (*Claim, error) {
	if a.alternative {
		return h.routers[a.host].config.Claimer.Claim
	}
	return h.routers[a.host].Claim
}

func (h *harness) claim(a action) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond+a.wait)
	defer cancel()
	claim, err := h.path(a)(ctx, h.requests[a.key])
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.checkRejection(a, err)
		return
	}
	if h.granted[a.key] {
		h.violation = fmt.Sprintf("key %d granted at host %d after %s while an earlier grant held it", a.key, a.host, time.Since(h.begin))
	}
	h.granted[a.key] = true
	h.grants++
	h.openGrants = append(h.openGrants, grant{key: a.key, claim: claim})
}

// checkRejection records a violation when a key whose call was not executed is rejected
// as already_executed.
func (h *harness) checkRejection(a action, err error) {
	var rejection *Rejection
	if errors.As(err, &rejection) && rejection.Reason == mesh.ReasonAlreadyExecuted && !h.executed[a.key] {
		h.violation = fmt.Sprintf("key %d rejected as already executed at host %d after %s, but was not executed", a.key, a.host, time.Since(h.begin))
	}
}

// finishOldest releases or completes the oldest grant. A completed key stays granted.
func (h *harness) finishOldest(a action) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.openGrants) == 0 {
		return
	}
	oldest := h.openGrants[0]
	h.openGrants = h.openGrants[1:]
	if !a.alternative {
		h.executed[oldest.key] = true
		_ = oldest.claim.Complete(context.Background(), 200)
		return
	}
	h.granted[oldest.key] = false
	h.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), a.wait)
		defer cancel()
		_ = oldest.claim.Release(ctx)
	})
}

func (h *harness) clean(host int) {
	_, _ = h.routers[host].config.Claimer.Clean(context.Background(), 0)
}

func (h *harness) close() {
	h.heal()
	h.inFlight.Wait()
	for _, r := range h.routers {
		_ = r.config.Claimer.Close(context.Background())
	}
}

// TestAtMostOnce guards against a key that is granted twice, and against a key that is
// reported as executed before it was, under any combination of partitions, lost and
// late writes, outages, paused hosts, clock differences, lost and late messages,
// releases and cleanup.
func TestAtMostOnce(t *testing.T) {
	grants := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawAction), 1, 80).Draw(rt, "script")
		skew := rapid.SampledFrom([]int{0, -60, 120})
		seconds := rapid.SliceOfN(skew, scriptHosts, scriptHosts).Draw(rt, "skews")
		skews := make([]time.Duration, scriptHosts)
		for i := range skews {
			skews[i] = time.Duration(seconds[i]) * time.Second
		}
		oneEntrySegments := rapid.Bool().Draw(rt, "tiny")
		var violation string
		synctest.Test(t, func(t *testing.T) {
			h, err := newHarness(skews, oneEntrySegments)
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range script {
				h.run(a)
			}
			h.close()
			violation, grants = h.violation, grants+h.grants
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	if grants == 0 {
		t.Fatal("no script was granted a key")
	}
	t.Logf("%d grants", grants)
}
