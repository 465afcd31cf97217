package distribution

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// maxSteps is the number of changes that a node keeps to answer pulls with edits.
const maxSteps = 64

// step holds the edits that lead from one accepted version to the next.
type step struct {
	from, to mesh.VersionID
	edits    []lists.Edit
}

// recordStep keeps the step to a new version. The edits come from a comparison
// of the lists, because the change of a version that was accepted after a gap or
// from a restored store does not lead to it from the previous accepted version.
func (s *Service) recordStep(old, v *lists.Version) {
	if old == nil {
		return
	}
	edits := lists.Diff(old.Lists, v.Lists)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, step{from: old.ID, to: v.ID, edits: edits})
	if len(s.steps) > maxSteps {
		s.steps = append([]step(nil), s.steps[1:]...)
	}
}

// stepsFrom returns the edits of each step from held up to v.
func (s *Service) stepsFrom(held mesh.VersionID, v *lists.Version) ([][]lists.Edit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var steps [][]lists.Edit
	found := false
	for _, st := range s.steps {
		found = found || st.from == held
		if !found {
			continue
		}
		steps = append(steps, st.edits)
		if st.to == v.ID {
			return steps, true
		}
	}
	return nil, false
}

// buildVersion builds the version that a message carries and verifies it.
func (s *Service) buildVersion(m version) (*lists.Version, error) {
	if m.Status != versionWhole {
		return s.buildFromEdits(m)
	}
	body, err := inflate(m.Body)
	if err != nil {
		return nil, err
	}
	v, err := lists.NewVersion(m.ID, m.Change, body)
	if errors.Is(err, lists.ErrDigest) {
		return nil, errors.Mark(errors.Wrapf(err, "distribution: sequence %d", m.ID.Sequence), ErrDigest)
	}
	return v, markInvalid(m.ID, err)
}

// buildFromEdits applies the edits of a message to the accepted version. Lists
// whose encoding matches the digest need not be decoded again, which saves half
// of the cost of a change.
func (s *Service) buildFromEdits(m version) (*lists.Version, error) {
	next, err := s.applySteps(m)
	if err != nil {
		return nil, errors.Mark(err, ErrEdits)
	}
	body, err := lists.Encode(next)
	if err != nil {
		return nil, errors.Mark(err, ErrEdits)
	}
	if mesh.DigestOf(body) != m.ID.Digest {
		return nil, errors.Wrapf(ErrEdits, "digest of sequence %d differs", m.ID.Sequence)
	}
	config, err := lists.Compile(next)
	if err != nil {
		return nil, markInvalid(m.ID, err)
	}
	return &lists.Version{ID: m.ID, Change: m.Change, Lists: next, Body: body, Config: config}, nil
}

func (s *Service) applySteps(m version) (lists.Lists, error) {
	base := s.accepted.Load()
	if base == nil || base.ID != m.Base {
		return nil, errors.Newf("distribution: edits start from sequence %d", m.Base.Sequence)
	}
	steps := m.Steps
	if m.ThenChange {
		steps = append(steps, m.Change.Edits)
	}
	next := base.Lists
	for _, edits := range steps {
		var err error
		if next, err = lists.Apply(next, edits); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// markInvalid marks the error of a version whose body matches its digest but
// whose lists are invalid.
func markInvalid(id mesh.VersionID, err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrapf(err, "distribution: sequence %d", id.Sequence), ErrInvalid)
}

// wholeBodyCache caches the frame with the whole body of the accepted version.
type wholeBodyCache struct {
	id    mesh.VersionID
	frame []byte
}

func (s *Service) wholeBodyFrame(v *lists.Version) ([]byte, error) {
	s.mu.Lock()
	cached := s.wholeBody
	s.mu.Unlock()
	if cached.id == v.ID && cached.frame != nil {
		return cached.frame, nil
	}
	body, err := deflate(v.Body)
	if err != nil {
		return nil, err
	}
	frame, err := transport.EncodeFrame(transport.KindVersion, version{
		Status: versionWhole, ID: v.ID, Change: v.Change, Body: body,
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.wholeBody = wholeBodyCache{id: v.ID, frame: frame}
	s.mu.Unlock()
	return frame, nil
}

func deflate(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "distribution: compress")
	}
	if _, err := w.Write(body); err != nil {
		return nil, errors.Wrap(err, "distribution: compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "distribution: compress")
	}
	return out.Bytes(), nil
}

func inflate(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = r.Close() }()
	body, err := io.ReadAll(io.LimitReader(r, lists.MaxBodyBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "distribution: decompress"), ErrDigest)
	}
	if len(body) > lists.MaxBodyBytes {
		return nil, errors.Wrapf(ErrDigest, "body larger than %d bytes", lists.MaxBodyBytes)
	}
	return body, nil
}
