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

// TestMain fixes the seed of rapid, so that every run checks the same scripts,
// and their number, unless the command line gives others.
func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessGiven("rapid.seed", "1299")
	setUnlessGiven("rapid.checks", "1000")
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
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

// action is one step of a script. Which fields matter depends on kind.
type action struct {
	kind   string
	host   int
	key    int
	ratio  float64
	wait   time.Duration
	second bool
}

// Repeated kinds are drawn more often.
var actionKinds = []string{
	"claim", "claim", "claim", "claim", "finish", "finish", "sleep", "sleep",
	"faults", "late", "lose", "pause", "network", "isolate", "clean", "heal",
}

func drawAction(t *rapid.T) action {
	milliseconds := rapid.SampledFrom([]int{1, 4, 9, 30, 100, 700, 3000, 20_000, 70_000})
	return action{
		kind:   rapid.SampledFrom(actionKinds).Draw(t, "kind"),
		host:   rapid.IntRange(0, scriptHosts-1).Draw(t, "host"),
		key:    rapid.IntRange(0, scriptKeys-1).Draw(t, "key"),
		ratio:  rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "ratio"),
		wait:   time.Duration(milliseconds.Draw(t, "ms")) * time.Millisecond,
		second: rapid.Bool().Draw(t, "second"),
	}
}

// holder is a grant that was not released.
type holder struct {
	key   int
	claim *Claim
}

// world runs a script and notes when a key has two holders.
type world struct {
	store    *memory.Store
	network  *network
	routers  []*Router
	paused   [scriptHosts]atomic.Int64
	begin    time.Time
	requests []Request
	inFlight sync.WaitGroup

	mu       sync.Mutex
	held     [scriptKeys]bool
	done     [scriptKeys]bool
	holders  []holder
	grants   int
	violated string
}

// newWorld gives each host its clock difference. With tiny segments each key has
// a segment of its own.
func newWorld(skews []time.Duration, tiny bool) (*world, error) {
	w := &world{store: newMemory(), begin: time.Now()}
	// All keys are in one shard, and all but the last in one bucket.
	w.requests = sameShard(scriptKeys, w.begin)
	w.requests[scriptKeys-1].IssuedAt = w.begin.Add(BucketDuration)
	segmentBytes := DefaultMaxSegmentBytes
	if tiny {
		segmentBytes = headerBytes + entryBytes
	}
	var claimers []*Claimer
	for i := range scriptHosts {
		c, err := New(Config{
			Store:            &hookStore{Store: w.store, before: func(kvstore.CallKind, string) { w.pauseHost(i) }},
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
	w.network, w.routers, err = newDomains(scriptDomains, claimers...)
	return w, err
}

// pauseHost holds a call to the store up, as a paused process does.
func (w *world) pauseHost(i int) {
	time.Sleep(time.Until(time.UnixMilli(w.paused[i].Load())))
}

func (w *world) run(a action) {
	switch a.kind {
	case "claim":
		w.inFlight.Go(func() { w.claim(a) })
	case "finish":
		w.finish(a)
	case "sleep":
		time.Sleep(a.wait)
	case "faults":
		w.store.SetFaults(memory.Faults{
			Latency: a.wait / 100, LostAnswerRatio: a.ratio, LostRequestRatio: a.ratio / 2, Unavailable: a.second,
		})
	case "late":
		w.store.DelayNextWrites(1+a.key, a.wait)
	case "lose":
		w.store.LoseNextAnswers(1 + a.key)
	case "pause":
		w.paused[a.host].Store(time.Now().Add(a.wait).UnixMilli())
	case "network":
		w.network.setDelay(w.unevenDelay(a))
	case "isolate":
		w.network.isolate(w.routers[a.host].config.Self)
	case "clean":
		w.inFlight.Go(func() { w.clean(a.host) })
	case "heal":
		w.heal()
	}
}

// unevenDelay drops or delays every other message.
func (w *world) unevenDelay(a action) func(mesh.HostID, transport.Kind) time.Duration {
	turn := 0
	return func(mesh.HostID, transport.Kind) time.Duration {
		turn++
		if turn%2 == 0 {
			return time.Millisecond
		}
		if a.second {
			return -1
		}
		return a.wait
	}
}

func (w *world) heal() {
	w.store.SetFaults(memory.Faults{Latency: 4 * time.Millisecond})
	w.network.setDelay(always(time.Millisecond))
	w.network.isolate()
}

// path is through the owner, or directly as when hosts see different owners.
func (w *world) path(a action) func(context.Context, Request) (*Claim, error) {
	if a.second {
		return w.routers[a.host].config.Claimer.Claim
	}
	return w.routers[a.host].Claim
}

func (w *world) claim(a action) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond+a.wait)
	defer cancel()
	claim, err := w.path(a)(ctx, w.requests[a.key])
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.checkRefusal(a, err)
		return
	}
	if w.held[a.key] {
		w.violated = fmt.Sprintf("key %d granted at host %d after %s while it was held", a.key, a.host, time.Since(w.begin))
	}
	w.held[a.key] = true
	w.grants++
	w.holders = append(w.holders, holder{key: a.key, claim: claim})
}

// checkRefusal notes a refusal as already_executed of a key that nobody executed.
func (w *world) checkRefusal(a action, err error) {
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.Reason == mesh.ReasonAlreadyExecuted && !w.done[a.key] {
		w.violated = fmt.Sprintf("key %d called executed at host %d after %s", a.key, a.host, time.Since(w.begin))
	}
}

// finish releases or completes the oldest grant. A completed key stays held.
func (w *world) finish(a action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.holders) == 0 {
		return
	}
	h := w.holders[0]
	w.holders = w.holders[1:]
	if !a.second {
		w.done[h.key] = true
		_ = h.claim.Complete(context.Background(), 200)
		return
	}
	w.held[h.key] = false
	w.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), a.wait)
		defer cancel()
		_ = h.claim.Release(ctx)
	})
}

func (w *world) clean(host int) {
	_, _ = w.routers[host].config.Claimer.Clean(context.Background(), 0)
}

func (w *world) close() {
	w.heal()
	w.inFlight.Wait()
	for _, r := range w.routers {
		_ = r.config.Claimer.Close(context.Background())
	}
}

// TestAtMostOnce guards against a key with two holders, and against a key that is
// called executed before it was, under any combination of partitions, lost and late writes, outages, paused hosts, clock differences, lost and late
// messages, releases and cleanup.
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
		tiny := rapid.Bool().Draw(rt, "tiny")
		var violated string
		synctest.Test(t, func(t *testing.T) {
			w, err := newWorld(skews, tiny)
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range script {
				w.run(a)
			}
			w.close()
			violated, grants = w.violated, grants+w.grants
		})
		if violated != "" {
			rt.Fatal(violated)
		}
	})
	if grants == 0 {
		t.Fatal("no script was granted a key")
	}
	t.Logf("%d grants", grants)
}
