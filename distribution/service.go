package distribution

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/overlay"
	"geraniumnotch.example/geraniumnotch/transport"
)

var eventUnknownKind = events.Define(1600, hclog.Warn, "message of unknown kind dropped",
	"Expected while versions of the program are mixed; otherwise report it.")

// Service keeps the member table and the accepted version of a node synchronized
// with its peers. Its methods are safe for concurrent use.
type Service struct {
	config  Config
	table   *membership.Table
	manager *transport.Manager

	handlersMu sync.RWMutex
	handlers   map[transport.Kind]transport.Handler

	// acceptMu orders acceptances and the OnVersion calls.
	acceptMu sync.Mutex
	accepted atomic.Pointer[lists.Version]
	// ready changes once, under acceptMu; before that no version is active.
	ready atomic.Bool

	// mu guards the fields below. It is never held during OnVersion, OnMembers or
	// calls to the store.
	mu                sync.Mutex
	peers             map[mesh.HostID]*peer
	dials             map[mesh.HostID]*dialState
	overlay           overlay.Links
	overlayGeneration uint64
	overlayComputedAt time.Time
	// pendingRecords holds the hosts whose records are queued for the next batch,
	// with the peers that are known to have them.
	pendingRecords map[mesh.HostID][]mesh.HostID
	seeds          seedState
	pulls          pullState
	steps          []step
	wholeBody      wholeBodyCache
	conflict       mesh.VersionID
	origin         origin
	rejected       map[mesh.VersionID]string
	// bodiesInFlight counts the whole bodies that are queued on each link.
	bodiesInFlight   map[*transport.Link]int
	pingCount        uint32
	nextDigest       time.Time
	membersChangedAt time.Time
	leaving          bool
	applied          appliedState
	store            storeState
	// comparison is used until the node is ready.
	comparison readyState

	// Only the loop uses these: the generation last passed to OnMembers, the time
	// of the last tick, and the end of the grace period after a pause.
	notifiedGeneration uint64
	lastTick           time.Time
	graceUntil         time.Time

	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

var _ transport.Sender = (*Service)(nil)

// origin states where the accepted version came from, and when. An empty host
// stands for the store.
type origin struct {
	from mesh.HostID
	at   time.Time
}

// peer is the state of a link.
type peer struct {
	link *transport.Link
	// helloReceived is set once the peer's hello has arrived, peerOnDemand if that
	// hello says that the peer wants the link only for direct messages, onDemand if
	// this node does.
	helloReceived bool
	peerOnDemand  bool
	onDemand      bool
	lastPing      time.Time
	// lastBackoff is the backoff of the dial that opened the link.
	lastBackoff time.Duration
}

// carriesGossip reports whether versions and member records are gossiped over the
// link.
func (p *peer) carriesGossip() bool { return !p.onDemand || (p.helloReceived && !p.peerOnDemand) }

// New returns a service that is not started.
func New(c Config) (*Service, error) {
	if err := c.prepare(); err != nil {
		return nil, err
	}
	now := c.Clock()
	s := &Service{
		config: c, table: membership.NewTable(c.Self, c.Members, now),
		handlers:       map[transport.Kind]transport.Handler{},
		peers:          map[mesh.HostID]*peer{},
		dials:          map[mesh.HostID]*dialState{},
		pendingRecords: map[mesh.HostID][]mesh.HostID{},
		rejected:       map[mesh.VersionID]string{},
		bodiesInFlight: map[*transport.Link]int{},
		wake:           make(chan struct{}, 1),
		// A table that has just been created counts as changed.
		membersChangedAt: now,
	}
	s.seeds.addresses = append(s.seeds.addresses, c.Seeds...)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.manager = transport.NewManager(transport.Config{
		Self: c.Self.Host, Logger: c.Logger, Meter: c.Meter, Dial: c.Dial,
		HandshakesPerSecond: c.HandshakesPerSecond, Memory: c.Memory,
		OnUp: s.linkUp, OnDown: s.linkDown, OnMessage: s.receive,
	})
	return s, nil
}

// Handler returns the handler for the listener of the peer address.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(transport.Path, s.manager)
	return mux
}

// Register sets the handler for messages of a kind that this package does not
// use itself.
func (s *Service) Register(kind transport.Kind, h transport.Handler) {
	s.handlersMu.Lock()
	defer s.handlersMu.Unlock()
	s.handlers[kind] = h
}

// Start starts linking to peers. It returns immediately.
func (s *Service) Start(context.Context) error {
	s.notifyMembers()
	s.workers.Add(1)
	go s.loop()
	s.startStore()
	return nil
}

// View returns the current member view.
func (s *Service) View() *membership.View { return s.table.View() }

// Accepted returns the accepted version, or nil before the first.
func (s *Service) Accepted() *lists.Version { return s.accepted.Load() }

// acceptedID returns the ID of the accepted version; it is zero before the first.
func (s *Service) acceptedID() mesh.VersionID {
	if v := s.accepted.Load(); v != nil {
		return v.ID
	}
	return mesh.VersionID{}
}

// UpdateSelf changes the node's own record and gossips it.
func (s *Service) UpdateSelf(change func(*membership.Record)) {
	if s.table.UpdateSelf(change, s.config.Clock()) {
		s.queueRecords([]mesh.HostID{s.config.Self.Host}, "")
	}
}

// Send sends a message of another package to a host. If there is no link to the
// host, it opens one: to hosts of the local failure domain for any message, to
// hosts of remote domains for messages about claims only.
func (s *Service) Send(_ context.Context, to mesh.HostID, kind transport.Kind, body any) error {
	if link := s.manager.Link(to); link != nil {
		return link.Send(kind, body)
	}
	frame, err := transport.EncodeFrame(kind, body)
	if err != nil {
		return err
	}
	return s.queueOnDemand(to, kind, frame)
}

func (s *Service) receive(l *transport.Link, m transport.Message) {
	err := s.dispatch(l, m)
	if err != nil {
		eventMalformed.Log(s.config.Logger, "host", l.Peer(), "kind", int(m.Kind), "error", err)
		l.Close()
	}
}

func (s *Service) dispatch(l *transport.Link, m transport.Message) error {
	switch m.Kind {
	case transport.KindHello:
		return decodeAndHandle(m, l, s.onHello)
	case transport.KindAnnounce:
		return decodeAndHandle(m, l, s.onAnnounce)
	case transport.KindPull:
		return decodeAndHandle(m, l, s.onPull)
	case transport.KindVersion:
		return decodeAndHandle(m, l, s.onVersion)
	case transport.KindMembers:
		return decodeAndHandle(m, l, s.onMembers)
	case transport.KindMemberDigest:
		return decodeAndHandle(m, l, s.onMemberDigest)
	case transport.KindMemberRequest:
		return decodeAndHandle(m, l, s.onMemberRequest)
	case transport.KindPing:
		return decodeAndHandle(m, l, s.onPing)
	case transport.KindPong:
		return decodeAndHandle(m, l, s.onPong)
	case transport.KindApplied:
		return decodeAndHandle(m, l, s.onApplied)
	default:
		s.forward(l, m)
		return nil
	}
}

func decodeAndHandle[T any](m transport.Message, l *transport.Link, handle func(*transport.Link, T)) error {
	var body T
	if err := m.Decode(&body); err != nil {
		return err
	}
	handle(l, body)
	return nil
}

func (s *Service) forward(l *transport.Link, m transport.Message) {
	s.handlersMu.RLock()
	h := s.handlers[m.Kind]
	s.handlersMu.RUnlock()
	if h == nil {
		eventUnknownKind.Log(s.config.Logger, "host", l.Peer(), "kind", int(m.Kind))
		return
	}
	h.Handle(l.Peer(), m)
}

// loop runs the periodic checks and sends the batches of changed records.
func (s *Service) loop() {
	defer s.workers.Done()
	ticker := time.NewTicker(s.config.Timing.Tick)
	defer ticker.Stop()
	batch := time.NewTimer(s.config.Timing.BatchDelay)
	defer batch.Stop()
	s.tick()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.tick()
		case <-s.wake:
			batch.Reset(s.config.Timing.BatchDelay)
		case <-batch.C:
			s.flush()
		}
	}
}

// resumeGrace is how long a node that was paused neither declares hosts dead nor
// closes links, so that it first reads what arrived in the meantime.
const resumeGrace = time.Second

// recentlyPaused records a tick and reports whether the node was paused within
// resumeGrace. A late tick means that the process did not run, or not enough.
func (s *Service) recentlyPaused(now time.Time) bool {
	late := !s.lastTick.IsZero() && now.Sub(s.lastTick) >= s.config.Timing.Tick+resumeGrace/2
	s.lastTick = now
	if late {
		s.graceUntil = now.Add(resumeGrace)
		s.resetDialFailures()
	}
	return now.Before(s.graceUntil)
}

// tick runs the checks that depend on time.
func (s *Service) tick() {
	now := s.config.Clock()
	if !s.recentlyPaused(now) {
		s.declareDead(now)
		s.checkLinks(now)
	}
	s.refreshOverlay(now)
	s.startDueDials(now)
	s.dialSeeds(now)
	s.checkPull(now)
	s.checkReady(now)
	s.sendDigest(now)
	s.reportApplied(now)
	s.notifyMembers()
}

func (s *Service) declareDead(now time.Time) {
	if dead := s.table.Tick(now); len(dead) > 0 {
		eventDead.Log(s.config.Logger, "hosts", dead)
		s.queueRecords(dead, "")
	}
}

// Stop leaves the mesh gracefully: the node tells its peers that it has left and
// waits for them to close their links, for at most leaveTimeout or until the
// context ends.
func (s *Service) Stop(ctx context.Context) error {
	s.leave(ctx)
	s.cancel()
	s.manager.Close()
	done := make(chan struct{})
	go func() {
		s.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "distribution: stop")
	}
}

// Kill ends the service immediately, without telling the peers, as a crash does.
func (s *Service) Kill() {
	s.cancel()
	s.manager.Close()
	s.workers.Wait()
}
