package transport

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Path is the HTTP path at which nodes accept links.
const Path = "/geraniumnotch/peer"

// headerHost carries the host ID of each side in the opening handshake.
const headerHost = "Geraniumnotch-Host"

// Defaults of Config.
const (
	DefaultQueueLength         = 256
	DefaultHandshakesPerSecond = 50
	DefaultDialTimeout         = 1500 * time.Millisecond
	// crossedDialWindow is the time within which a second link between two hosts,
	// dialed from the other side, counts as a crossed dial and not as a reconnect.
	crossedDialWindow = 2 * time.Second
	// idlePollInterval is the interval at which a link that another one has replaced is
	// checked for exchanges.
	idlePollInterval = 50 * time.Millisecond
	// maxHandshakeBytes limits the head of a handshake response. The address may have been
	// assigned to another program since.
	maxHandshakeBytes = 16 << 10
)

var (
	eventLinkUp            = events.Define(1500, hclog.Debug, "link opened", "None.")
	eventLinkDown          = events.Define(1501, hclog.Debug, "link closed", "None; the node reconnects if it still needs the link.")
	eventHandshakeRejected = events.Define(1502, hclog.Debug, "handshake rejected, rate limit reached", "None; the peer retries with jitter.")
	eventHandshakeFailed   = events.Define(1503, hclog.Warn, "handshake failed", "Check that the peer address belongs to a node of this mesh.")
)

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Manager.
type Config struct {
	Self   mesh.HostID
	Logger hclog.Logger
	Meter  *Meter
	// Dial opens connections; nil means net.Dialer.
	Dial DialFunc
	// QueueLength is the number of frames that may wait on a link.
	QueueLength int
	// HandshakesPerSecond limits the rate at which the node accepts links.
	HandshakesPerSecond float64
	DialTimeout         time.Duration
	// OnUp is called before the first message of a link, OnDown after the last
	// one. OnUp, OnDown and OnMessage run on the link's reading goroutine and must
	// not block.
	OnUp      func(*Link)
	OnDown    func(*Link, error)
	OnMessage func(*Link, Message)
	// IsIdle reports whether a link carries no exchange, such as a call. A link that another
	// one replaces stays open until it is idle. Nil means that every link is idle.
	IsIdle func(*Link) bool
	// Memory is what long frames may hold while they are read and handled; nil limits
	// nothing.
	Memory *heldmemory.Account
}

// Manager owns the links of a node: at most one per peer.
type Manager struct {
	config  Config
	client  *http.Client
	limiter *rate.Limiter
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	links map[mesh.HostID]*Link
	// superseded holds the open links that another one has replaced.
	superseded   map[*Link]bool
	closed       bool
	runningLinks sync.WaitGroup
}

// NewManager returns a manager without links.
func NewManager(c Config) *Manager {
	c.QueueLength = lo.CoalesceOrEmpty(c.QueueLength, DefaultQueueLength)
	c.HandshakesPerSecond = lo.CoalesceOrEmpty(c.HandshakesPerSecond, DefaultHandshakesPerSecond)
	c.DialTimeout = lo.CoalesceOrEmpty(c.DialTimeout, DefaultDialTimeout)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Meter == nil {
		c.Meter = &Meter{}
	}
	burst := int(max(c.HandshakesPerSecond, 1))
	m := &Manager{
		config:  c,
		limiter: rate.NewLimiter(rate.Limit(c.HandshakesPerSecond), burst),
		links:   map[mesh.HostID]*Link{}, superseded: map[*Link]bool{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.client = &http.Client{Transport: &http.Transport{
		DialContext: m.dialWithTimeout, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHandshakeBytes,
	}}
	return m
}

// dialWithTimeout limits the time of a connection attempt itself, because the HTTP
// client lets an attempt continue after the request that caused it has ended.
func (m *Manager) dialWithTimeout(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.DialTimeout)
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel)
	defer stop()
	return m.config.Dial(ctx, network, address)
}

// Link returns the link to a peer, or nil.
func (m *Manager) Link(peer mesh.HostID) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[peer]
}

// Links returns all links.
func (m *Manager) Links() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return lo.Values(m.links)
}

// OpenLinks returns all links, and those that another one has replaced.
func (m *Manager) OpenLinks() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.openLinks()
}

// openLinks is OpenLinks for a caller that holds the lock.
func (m *Manager) openLinks() []*Link { return append(lo.Values(m.links), lo.Keys(m.superseded)...) }

// Dial opens a link to the node at address and returns its host. When the peer
// dials at the same time and its link stays, Dial closes its own connection and
// returns no error. Otherwise an older link to the same host is replaced.
func (m *Manager) Dial(ctx context.Context, address string) (mesh.HostID, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", errors.Wrapf(ErrAddress, "%q", address)
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.DialTimeout)
	defer cancel()
	header := http.Header{headerHost: {string(m.config.Self)}}
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: m.client, HTTPHeader: header,
	})
	if err != nil {
		return "", dialError(response, err, address)
	}
	m.config.Meter.sent(KindHandshake, handshakeRequestBytes)
	m.config.Meter.received(KindHandshake, handshakeResponseBytes)
	peer := mesh.HostID(response.Header.Get(headerHost))
	if err := m.checkPeer(peer); err != nil {
		_ = conn.CloseNow()
		return peer, errors.Wrapf(err, "address %s", address)
	}
	link := newLink(peer, true, conn, m.config.QueueLength, m.config.Meter)
	if !m.register(link) {
		link.Close()
		return peer, nil
	}
	go m.run(link)
	return peer, nil
}

// dialError marks the error with ErrBusy if the peer answered that its handshake
// limit is reached.
func dialError(response *http.Response, err error, address string) error {
	err = errors.Wrapf(err, "transport: dial %s", address)
	if response != nil && response.StatusCode == http.StatusServiceUnavailable {
		return errors.Mark(err, ErrBusy)
	}
	return err
}

// checkPeer checks the host ID that the other side sent in the handshake.
func (m *Manager) checkPeer(peer mesh.HostID) error {
	switch peer {
	case "":
		return ErrIdentity
	case m.config.Self:
		return ErrSelf
	default:
		return nil
	}
}

// ServeHTTP accepts a link from a peer.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.limiter.Allow() {
		eventHandshakeRejected.Log(m.config.Logger, "remote", r.RemoteAddr)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "handshake limit reached", http.StatusServiceUnavailable)
		return
	}
	if m.ctx.Err() != nil {
		http.Error(w, ErrClosed.Error(), http.StatusGone)
		return
	}
	peer := mesh.HostID(r.Header.Get(headerHost))
	if err := m.checkPeer(peer); err != nil {
		eventHandshakeFailed.Log(m.config.Logger, "remote", r.RemoteAddr, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(headerHost, string(m.config.Self))
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		eventHandshakeFailed.Log(m.config.Logger, "remote", r.RemoteAddr, "error", err)
		return
	}
	m.config.Meter.received(KindHandshake, handshakeRequestBytes)
	m.config.Meter.sent(KindHandshake, handshakeResponseBytes)
	link := newLink(peer, false, conn, m.config.QueueLength, m.config.Meter)
	if !m.register(link) {
		link.Close()
		return
	}
	m.run(link)
}

// register makes link the link to its peer in place of the one before it. When two dials
// cross, both sides keep the same link: the one that the host with the lower ID dialed.
// The other one is closed once it is idle. register reports false when link must be
// closed now.
func (m *Manager) register(link *Link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	old := m.links[link.peer]
	crossed := old != nil && old.dialed != link.dialed && link.opened.Sub(old.opened) < crossedDialWindow
	if lower := m.config.Self < link.peer; crossed && old.dialed == lower {
		if m.config.IsIdle == nil {
			return false
		}
		// The peer may have sent on this link before it learned of the other one.
		m.runningLinks.Add(1)
		m.supersede(link)
		return true
	}
	m.links[link.peer] = link
	m.runningLinks.Add(1)
	switch {
	case old != nil && m.config.IsIdle != nil:
		m.supersede(old)
	case old != nil:
		old.Close()
	}
	return true
}

// supersede closes a link that is not kept, once neither side uses it.
// The caller holds the lock.
func (m *Manager) supersede(link *Link) {
	m.superseded[link] = true
	go func() {
		// After this time the peer has registered the link that is kept.
		pause := time.After(crossedDialWindow)
		for {
			select {
			case <-link.Closed():
				return
			case <-pause:
			}
			if m.config.IsIdle(link) {
				link.closeWithHandshake()
				return
			}
			pause = time.After(idlePollInterval)
		}
	}()
}

// run serves a registered link until it ends.
func (m *Manager) run(link *Link) {
	defer m.runningLinks.Done()
	eventLinkUp.Log(m.config.Logger, "host", link.peer, "dialed", link.dialed)
	if m.config.Memory != nil {
		link.held = m.config.Memory.NewHolder(link.Close)
		defer link.held.Close()
	}
	m.config.OnUp(link)
	go link.writeFrames()
	err := link.readFrames(m.config.OnMessage)
	link.Close()
	m.unregister(link)
	eventLinkDown.Log(m.config.Logger, "host", link.peer, "error", err)
	m.config.OnDown(link, err)
}

// unregister removes link unless another link to its peer has replaced it.
func (m *Manager) unregister(link *Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.superseded, link)
	if m.links[link.peer] == link {
		delete(m.links, link.peer)
	}
}

// Shutdown rejects new links and ends all links after their queued frames have reached
// the peers. It returns when the last OnDown has returned or ctx ends; Close ends the
// remaining links.
func (m *Manager) Shutdown(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	links := m.openLinks()
	m.mu.Unlock()
	m.cancel()
	for _, l := range links {
		go l.closeWithHandshake()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.runningLinks.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// Close ends all links and rejects new ones. It returns when the last OnDown has
// returned.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	links := m.openLinks()
	m.mu.Unlock()
	m.cancel()
	for _, l := range links {
		l.Close()
	}
	m.runningLinks.Wait()
	m.client.CloseIdleConnections()
}
