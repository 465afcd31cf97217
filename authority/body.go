package authority

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// writeAttempts is the number of times that a write other than the swap of the
// head is attempted when another proposer writes the same key or the store's
// response is lost.
const writeAttempts = 8

// readBody reads the chunks of a body. It does not verify the digest.
func (a *Authority) readBody(ctx context.Context, digest mesh.Digest, chunks int) ([]byte, error) {
	if c := a.cached.Load(); c != nil && c.digest == digest {
		return c.body, nil
	}
	var body []byte
	for i := range min(chunks, maxChunks) {
		entry, err := a.store.Get(ctx, chunkKey(digest, i))
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, errors.Wrapf(ErrVersionNotFound, "chunk %d of %s", i, digest.Short())
		}
		if err != nil {
			return nil, markStoreError(err, "read a body")
		}
		body = append(body, entry.Value...)
		if len(body) > lists.MaxBodyBytes {
			return nil, errors.Wrapf(ErrCorrupt, "the body of %s is too large", digest.Short())
		}
	}
	return body, nil
}

// writeBody writes every chunk of a body again, even when the store has it
// already, and returns the revisions by key. The new revisions keep another
// proposer from deleting the chunks as garbage: see findGarbage.
func (a *Authority) writeBody(ctx context.Context, digest mesh.Digest, body []byte) (map[string]kvstore.Revision, error) {
	written := map[string]kvstore.Revision{}
	for i := range chunkCount(len(body)) {
		chunk := body[i*ChunkBytes : min((i+1)*ChunkBytes, len(body))]
		key := chunkKey(digest, i)
		revision, err := a.writeChunk(ctx, key, chunk)
		if err != nil {
			return nil, err
		}
		written[key] = revision
	}
	return written, nil
}

func (a *Authority) writeChunk(ctx context.Context, key string, chunk []byte) (kvstore.Revision, error) {
	var expected kvstore.Revision
	var lastErr error
	for range writeAttempts {
		revision, err := a.store.CompareAndSwap(ctx, key, chunk, expected)
		if err == nil {
			return revision, nil
		}
		lastErr = err
		if !errors.Is(err, kvstore.ErrConflict) && !errors.Is(err, kvstore.ErrUnknown) {
			break
		}
		if expected, err = a.chunkRevision(ctx, key, chunk); err != nil {
			lastErr = err
			break
		}
	}
	return 0, markStoreError(lastErr, "write a body")
}

// chunkRevision returns the revision of a chunk, zero when it is absent.
// ErrCorrupt means that the chunk in the store has other content than the
// digest in its key requires; such a chunk is never overwritten.
func (a *Authority) chunkRevision(ctx context.Context, key string, want []byte) (kvstore.Revision, error) {
	entry, err := a.store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(entry.Value, want) {
		return 0, errors.Wrapf(ErrCorrupt, "the content of %s does not match the digest in its key", key)
	}
	return entry.Revision, nil
}
