package peers

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// linkWaitTolerance and linkRateTolerance are the changes of the wait and, as a
	// fraction, of the rate from which a link is reported again: a change that a caller
	// with the shortest latency targets (100 ms) notices.
	linkWaitTolerance = 20 * time.Millisecond
	linkRateTolerance = 0.15
	// maxLinkKBps bounds the rate that a peer may report: 1 Tbit/s.
	maxLinkKBps = 125_000_000
	bytesPerKB  = 1000
)

// linkStatus is what a host reports about its network link while it orders long responses
// there.
type linkStatus struct {
	_ struct{} `cbor:",toarray"`
	// WaitMs is how long a further long response would wait. KBps is the rate that is left
	// for long responses in 1,000 bytes per second.
	WaitMs int64
	KBps   int64
}

// linkReport is a report about the link of a peer.
type linkReport struct {
	wait           time.Duration
	bytesPerSecond float64
}

func newLinkStatus(s hostlink.Status) linkStatus {
	return linkStatus{WaitMs: max(0, s.Wait.Milliseconds()), KBps: max(1, int64(s.BytesPerSecond/bytesPerKB))}
}

// differs reports whether a report must follow the one that was sent.
func (s linkStatus) differs(sent linkStatus) bool {
	wait := time.Duration(s.WaitMs-sent.WaitMs) * time.Millisecond
	return wait.Abs() >= linkWaitTolerance || math.Abs(float64(s.KBps-sent.KBps)) >= linkRateTolerance*float64(sent.KBps)
}

// sendLinkStatus reports this host's link to the peers that have an earlier state of it.
// Without a report they expect no wait and the bandwidth of the host's record.
func (d *Directory) sendLinkStatus(links []*transport.Link) {
	if d.config.HostLink == nil {
		return
	}
	status, ordered := d.config.HostLink.Status()
	if !ordered {
		return
	}
	report := newLinkStatus(status)
	for _, l := range links {
		d.mu.Lock()
		state := d.links[l]
		due := state != nil && state.knowsWorkspaces && report.differs(state.sentLink)
		d.mu.Unlock()
		if due && l.Send(transport.KindLinkStatus, report) == nil {
			d.mu.Lock()
			state.sentLink = report
			d.mu.Unlock()
		}
	}
}

var errLinkStatus = errors.New("peers: malformed link status")

// handleLinkStatus records what a peer reports about its link.
func (d *Directory) handleLinkStatus(l *transport.Link, s linkStatus) error {
	if s.WaitMs < 0 || s.WaitMs > maxReportedDelay.Milliseconds() || s.KBps <= 0 || s.KBps > maxLinkKBps {
		return errLinkStatus
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[l.Peer()]; p != nil {
		p.link.Store(&linkReport{
			wait: time.Duration(s.WaitMs) * time.Millisecond, bytesPerSecond: float64(s.KBps) * bytesPerKB,
		})
	}
	return nil
}

// LinkDelay returns the expected time that a long response takes on the link of the peer's
// host, 0 when its length or the bandwidth is not known. Between two reports it counts the
// responses that this host has asked for.
func (p *Peer) LinkDelay(bytes int64) time.Duration {
	if bytes <= 0 {
		return 0
	}
	rate, wait := hostlink.BytesPerSecond(p.record.Load().LinkMbps), time.Duration(0)
	if report := p.link.Load(); report != nil {
		rate, wait = report.bytesPerSecond, max(0, report.wait)
	}
	if rate <= 0 {
		return 0
	}
	return wait + time.Duration(float64(p.expectedBytes.Load()+bytes)/rate*float64(time.Second))
}
