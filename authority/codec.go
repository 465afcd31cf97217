package authority

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Keys of the store, and limits for reading its values.
const (
	keyHead            = "head"
	prefixVersion      = "version/"
	prefixChange       = "change/"
	prefixRefused      = "refused/"
	keyRefusalCount    = prefixRefused + "next"
	prefixDomain       = "domain/"
	suffixSummary      = "/summary"
	maxChunks          = (lists.MaxBodyBytes + ChunkBytes - 1) / ChunkBytes
	maxSmallValueBytes = 64 << 10
	maxDecodedEdits    = 2 * lists.MaxEntries
)

func chunkKey(digest mesh.Digest, chunk int) string {
	return prefixVersion + digest.String() + "/" + strconv.Itoa(chunk)
}

// changePrefix pads the sequence with zeros so that the store lists audit
// records in the order of their sequences.
func changePrefix(sequence mesh.Sequence) string {
	return fmt.Sprintf("%s%020d/", prefixChange, sequence)
}

func changeKey(sequence mesh.Sequence, change mesh.ChangeID) string {
	return changePrefix(sequence) + string(change)
}

// parseChangeKey splits a key that changeKey returned. It returns false for a
// malformed key.
func parseChangeKey(key string) (mesh.Sequence, mesh.ChangeID, bool) {
	number, change, ok := strings.Cut(strings.TrimPrefix(key, prefixChange), "/")
	sequence, err := strconv.ParseUint(number, 10, 64)
	return mesh.Sequence(sequence), mesh.ChangeID(change), ok && err == nil
}

func refusalKey(slot uint64) string { return fmt.Sprintf("%s%02d", prefixRefused, slot%MaxRefusals) }

func summaryKey(domain mesh.FailureDomain) string {
	return prefixDomain + string(domain) + suffixSummary
}

var (
	encMode = func() cbor.EncMode {
		options := cbor.CoreDetEncOptions()
		options.Time = cbor.TimeRFC3339Nano
		return lo.Must(options.EncMode())
	}()
	decMode = lo.Must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxDecodedEdits,
		MaxMapPairs:      64,
		MaxNestedLevels:  12,
	}.DecMode())
)

func encode(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	return data, errors.Wrap(err, "authority: encode")
}

// decode decodes a value of at most limit bytes from the store. Any failure is
// ErrCorrupt.
func decode[T any](entry kvstore.Entry, limit int) (T, error) {
	var value T
	if len(entry.Value) > limit {
		return value, errors.Wrapf(ErrCorrupt, "%s has %d bytes, limit %d", entry.Key, len(entry.Value), limit)
	}
	if err := decMode.Unmarshal(entry.Value, &value); err != nil {
		return value, errors.Mark(errors.Wrapf(err, "authority: decode %s", entry.Key), ErrCorrupt)
	}
	return value, nil
}

func decodeHead(entry kvstore.Entry) (Head, error) {
	head, err := decode[Head](entry, maxSmallValueBytes)
	if err != nil {
		return Head{}, err
	}
	validSize := head.Bytes > 0 && head.Bytes <= lists.MaxBodyBytes && head.Chunks == chunkCount(head.Bytes)
	last, ok := lo.Last(head.Recent)
	validRecent := ok && last.Version == head.Version && last.Change == head.Change
	if !validSize || !validRecent || head.Version.Sequence == 0 || len(head.Recent) > MaxRecentChanges {
		return Head{}, errors.Wrap(ErrCorrupt, "the fields of the head contradict each other")
	}
	return head, nil
}

func chunkCount(bytes int) int { return (bytes + ChunkBytes - 1) / ChunkBytes }
