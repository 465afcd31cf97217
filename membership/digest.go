package membership

import (
	"encoding/binary"
	"maps"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// pairBytes is the encoded size of a pair of host hash and record hash.
const pairBytes = 16

// Digests returns the digest of each failure domain: the sum of the hashes of
// its records that are neither dead nor left.
func (t *Table) Digests() map[mesh.FailureDomain]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.digests)
}

// Digest returns the digest of the whole table.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, d := range t.digests {
		sum += d
	}
	return sum
}

// DifferingDomains returns the failure domains whose digests differ from those of
// a peer, including domains that only one side knows.
func (t *Table) DifferingDomains(peer map[mesh.FailureDomain]uint64) []mesh.FailureDomain {
	own := t.Digests()
	var differing []mesh.FailureDomain
	for domain, digest := range peer {
		if own[domain] != digest {
			differing = append(differing, domain)
		}
	}
	for domain, digest := range own {
		if _, both := peer[domain]; !both && digest != 0 {
			differing = append(differing, domain)
		}
	}
	return differing
}

// Summary returns the pairs of host hash and record hash of a failure domain,
// 16 bytes each. An empty domain stands for all domains.
func (t *Table) Summary(domain mesh.FailureDomain) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var pairs []byte
	for _, e := range t.entries {
		if e.record.State.DeadOrLeft() || (domain != "" && e.record.Domain != domain) {
			continue
		}
		pairs = binary.BigEndian.AppendUint64(pairs, e.hostHash)
		pairs = binary.BigEndian.AppendUint64(pairs, e.recordHash)
	}
	return pairs
}

// Difference compares the table with a peer's summary. It returns the records
// that the peer lacks or holds in a different state, and the hashes of the hosts
// that only the peer knows.
func (t *Table) Difference(domain mesh.FailureDomain, summary []byte) ([]Record, []uint64, error) {
	peerHashes, err := parseSummary(summary)
	if err != nil {
		return nil, nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var toSend []Record
	for _, e := range t.entries {
		if domain != "" && e.record.Domain != domain {
			continue
		}
		hash, known := peerHashes[e.hostHash]
		delete(peerHashes, e.hostHash)
		peerLacksIt := !known && !e.record.State.DeadOrLeft()
		if peerLacksIt || (known && hash != e.recordHash) {
			toSend = append(toSend, *e.record)
		}
	}
	want := make([]uint64, 0, len(peerHashes))
	for host := range peerHashes {
		want = append(want, host)
	}
	return toSend, want, nil
}

func parseSummary(summary []byte) (map[uint64]uint64, error) {
	if len(summary)%pairBytes != 0 {
		return nil, errors.Wrapf(ErrInvalidRecord, "truncated table summary of %d bytes", len(summary))
	}
	pairs := make(map[uint64]uint64, len(summary)/pairBytes)
	for ; len(summary) > 0; summary = summary[pairBytes:] {
		pairs[binary.BigEndian.Uint64(summary)] = binary.BigEndian.Uint64(summary[8:])
	}
	return pairs, nil
}

// RecordsByHash returns the records of the hosts with the given hashes.
func (t *Table) RecordsByHash(hashes []uint64) []Record {
	if len(hashes) == 0 {
		return nil
	}
	wanted := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		wanted[h] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Record
	for _, e := range t.entries {
		if wanted[e.hostHash] {
			found = append(found, *e.record)
		}
	}
	return found
}
