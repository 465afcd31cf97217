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

// Keys of the store.
const (
	keyHead         = "head"
	prefixVersion   = "version/"
	prefixChange    = "change/"
	prefixRefused   = "refused/"
	keyRefusedNext  = prefixRefused + "next"
	prefixDomain    = "domain/"
	suffixSummary   = "/summary"
	maxChunks       = (lists.MaxBodyBytes + ChunkBytes - 1) / ChunkBytes
	maxSmallValue   = 64 << 10
	maxDecodedEdits = 2 * lists.MaxEntries
)

func chunkKey(digest mesh.Digest, chunk int) string {
	return prefixVersion + digest.String() + "/" + strconv.Itoa(chunk)
}

// changePrefix pads the sequence so that the store lists records in order.
func changePrefix(sequence mesh.Sequence) string {
	return fmt.Sprintf("%s%020d/", prefixChange, sequence)
}

func changeKey(sequence mesh.Sequence, change mesh.ChangeID) string {
	return changePrefix(sequence) + string(change)
}

// parseChangeKey returns false for a key that changeKey did not make.
func parseChangeKey(key string) (mesh.Sequence, mesh.ChangeID, bool) {
	number, change, ok := strings.Cut(strings.TrimPrefix(key, prefixChange), "/")
	sequence, err := strconv.ParseUint(number, 10, 64)
	return mesh.Sequence(sequence), mesh.ChangeID(change), ok && err == nil
}

func refusedKey(slot uint64) string { return fmt.Sprintf("%s%02d", prefixRefused, slot%RefusedRecords) }

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

// decode reads a value of the store into a T.
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
	head, err := decode[Head](entry, maxSmallValue)
	if err != nil {
		return Head{}, err
	}
	sized := head.Bytes > 0 && head.Bytes <= lists.MaxBodyBytes && head.Chunks == chunkCount(head.Bytes)
	last, ok := lo.Last(head.Recent)
	named := ok && last.Version == head.Version && last.Change == head.Change
	if !sized || !named || head.Version.Sequence == 0 || len(head.Recent) > RecentChanges {
		return Head{}, errors.Wrap(ErrCorrupt, "head contradicts itself")
	}
	return head, nil
}

func chunkCount(bytes int) int { return (bytes + ChunkBytes - 1) / ChunkBytes }
