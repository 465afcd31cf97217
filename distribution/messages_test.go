package distribution

import (
	"testing"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/transport"
)

// FuzzMessages guards the goroutines that read from links against malformed
// messages of peers: no message may cause a panic or replace the accepted version.
func FuzzMessages(f *testing.F) {
	for kind, body := range map[transport.Kind]any{
		transport.KindHello:         hello{Host: "a", Domain: "fd1"},
		transport.KindAnnounce:      announce{},
		transport.KindPull:          pull{},
		transport.KindVersion:       version{Status: versionEdits},
		transport.KindMembers:       members{Records: []memberRecord{{Host: "b"}}, Want: []uint64{1}},
		transport.KindMemberDigest:  memberDigest{},
		transport.KindMemberRequest: memberRequest{Summary: make([]byte, 16)},
		transport.KindApplied:       applied{Domain: "fd1", Sequence: 3},
	} {
		frame, _ := transport.EncodeFrame(kind, body)
		f.Add(frame)
	}
	s, err := New(Config{Self: membership.Record{
		Host: "self", Domain: "fd1", PeerAddress: "127.0.0.1:1", CallAddress: "127.0.0.1:2",
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := transport.ParseFrame(frame)
		if err != nil {
			return
		}
		handleMessage(s, m)
		if s.Accepted() != nil || s.table.Self().Host != "self" {
			t.Fatal("a malformed message changed the node")
		}
	})
}

// handleMessage decodes a message and runs the part of its handling that needs no
// link.
func handleMessage(s *Service, m transport.Message) {
	switch m.Kind {
	case transport.KindVersion:
		var v version
		if m.Decode(&v) == nil {
			_ = s.acceptMessage("peer", v)
		}
	case transport.KindMembers:
		var records members
		if m.Decode(&records) == nil {
			s.table.Merge(records.Records, s.config.Clock())
			s.table.RecordsByHash(records.Want)
		}
	case transport.KindMemberRequest:
		var request memberRequest
		if m.Decode(&request) == nil {
			_, _, _ = s.table.Difference(request.Domain, request.Summary)
		}
	case transport.KindMemberDigest:
		var digest memberDigest
		if m.Decode(&digest) == nil {
			s.table.DifferingDomains(digest.Digests)
		}
	default:
		var a applied
		_ = m.Decode(&a)
	}
}
