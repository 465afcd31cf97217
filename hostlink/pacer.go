package hostlink

import (
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// maxAhead is how far the bytes that were let go may be ahead of the link. It is what a
	// short frame waits at most behind chunks, and a fifth of the shortest latency targets
	// of nested calls (100 ms). Less would leave the link unused while a process that may
	// use a part of a core is paused.
	maxAhead = 20 * time.Millisecond
	// floorShare is the share of the bytes of chunks that the least urgent one gets while
	// others of a more urgent rank, or for nested calls, are ahead of it. The order within a
	// rank lets none wait for ever.
	floorShare = 0.1
)

// chunk is a part of a long body that waits for the link.
type chunk struct {
	need    Need
	bytes   int
	queued  boottime.Time
	granted chan struct{}
}

// pacer lets chunks go at the rate of the link, by need. Its load: long bodies of many
// calls at the same time, which would fill the queues below for seconds.
type pacer struct {
	// idleAt is when the link has carried everything that was let go.
	idleAt  boottime.Time
	waiting []*chunk
	// floorBytes is what the least urgent chunks are due.
	floorBytes float64
}

// account records bytes that leave by the link.
func (p *pacer) account(bytes int, rate float64, now boottime.Time) {
	p.idleAt = max(p.idleAt, now) + transferTime(float64(bytes), rate)
}

// next returns the chunk that goes now and removes it. If there is none, it returns nil and
// how long the first one waits, 0 when none is waiting.
func (p *pacer) next(rate float64, now boottime.Time) (*chunk, time.Duration) {
	if len(p.waiting) == 0 {
		p.floorBytes = 0
		return nil, 0
	}
	if wait := p.idleAt - maxAhead - now; wait > 0 {
		return nil, wait
	}
	first, last := 0, 0
	for i, c := range p.waiting {
		if c.need.before(p.waiting[first].need) {
			first = i
		}
		if p.waiting[last].need.before(c.need) {
			last = i
		}
	}
	chosen := first
	if !p.waiting[first].need.hasRankOf(p.waiting[last].need) {
		p.floorBytes += floorShare * float64(p.waiting[first].bytes)
		if bytes := float64(p.waiting[last].bytes); p.floorBytes >= bytes {
			p.floorBytes -= bytes
			chosen = last
		}
	}
	c := p.waiting[chosen]
	p.remove(chosen)
	p.account(c.bytes, rate, now)
	return c, 0
}

// remove removes a waiting chunk and keeps the order of the others.
func (p *pacer) remove(i int) {
	copy(p.waiting[i:], p.waiting[i+1:])
	p.waiting[len(p.waiting)-1] = nil
	p.waiting = p.waiting[:len(p.waiting)-1]
}

// cancel removes a chunk that no longer waits, if it is there.
func (p *pacer) cancel(c *chunk) {
	for i, other := range p.waiting {
		if other == c {
			p.remove(i)
			return
		}
	}
}

// transferTime returns the time that the link takes for the bytes.
func transferTime(bytes, rate float64) time.Duration {
	return time.Duration(bytes / rate * float64(time.Second))
}
