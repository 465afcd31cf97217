package lists

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// Limits of the encoding. They bound the memory that a malicious body can take.
const (
	// MaxBodyBytes is the size of an encoded version. A customer takes about
	// 123 bytes, and a version of 40,000 customers 40 MB of memory once decoded
	// and compiled; a node holds a few versions within its 256 MB.
	MaxBodyBytes = 8 << 20
	// MaxEntries is the number of entries of both lists together.
	MaxEntries = 65536
	// maxFields is the number of fields of one entry.
	maxFields = 16
	// formatVersion is the first element of every body.
	formatVersion = 1
)

// Errors of the encoding.
var (
	ErrTooLarge = errors.New("lists: encoded lists are larger than the limit")
	ErrEncoding = errors.New("lists: malformed encoding")
)

// encodedLists is the body of a version. Entries are in canonical order.
type encodedLists struct {
	_       struct{} `cbor:",toarray"`
	Format  uint8
	Entries []encodedEntry
}

type encodedEntry struct {
	_      struct{} `cbor:",toarray"`
	Key    encodedKey
	Fields Fields
}

type encodedKey struct {
	_    struct{} `cbor:",toarray"`
	List ListName
	Kind EntryKind
	Name string
}

var (
	encMode = lo.Must(cbor.CoreDetEncOptions().EncMode())
	decMode = lo.Must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: MaxEntries,
		MaxMapPairs:      maxFields,
		MaxNestedLevels:  8,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

// Encode returns the canonical encoding of the lists: equal lists give equal
// bytes. The error is ErrTooLarge when the body exceeds MaxBodyBytes or the
// lists exceed MaxEntries.
func Encode(l Lists) ([]byte, error) {
	if len(l) > MaxEntries {
		return nil, errors.Wrapf(ErrTooLarge, "%d entries, limit %d", len(l), MaxEntries)
	}
	keys := l.Keys()
	value := encodedLists{Format: formatVersion, Entries: make([]encodedEntry, len(keys))}
	for i, key := range keys {
		fields := l[key]
		if fields == nil {
			fields = Fields{}
		}
		value.Entries[i] = encodedEntry{Key: encodedKey{List: key.List, Kind: key.Kind, Name: key.Name}, Fields: fields}
	}
	body, err := encMode.Marshal(value)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "lists: encode"), ErrEncoding)
	}
	if len(body) > MaxBodyBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(body), MaxBodyBytes)
	}
	return body, nil
}

// Decode decodes a body that Encode returned. It rejects every body that is not the
// canonical encoding of its content. It does not validate the entries; Compile
// does. The error is ErrTooLarge or ErrEncoding.
func Decode(body []byte) (Lists, error) {
	if len(body) > MaxBodyBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(body), MaxBodyBytes)
	}
	var value encodedLists
	if err := decMode.Unmarshal(body, &value); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "lists: decode"), ErrEncoding)
	}
	if value.Format != formatVersion {
		return nil, errors.Wrapf(ErrEncoding, "format %d, want %d", value.Format, formatVersion)
	}
	l := make(Lists, len(value.Entries))
	for _, e := range value.Entries {
		l[EntryKey{List: e.Key.List, Kind: e.Key.Kind, Name: e.Key.Name}] = e.Fields
	}
	reencoded, err := Encode(l)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, body) {
		return nil, errors.Wrap(ErrEncoding, "the encoding is not canonical")
	}
	return l, nil
}
