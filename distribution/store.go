package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// storeTimeout bounds a call to the store other than a watch.
const storeTimeout = 3 * time.Second

// contactsKey returns the store key of the contacts of a failure domain.
func contactsKey(d mesh.FailureDomain) string { return "domain/" + string(d) + "/contacts" }

func holderLeaseName(d mesh.FailureDomain, n int) string {
	return "holder/" + string(d) + "/" + string(rune('0'+n))
}

// ErrMalformedValue means that a value in the store cannot be decoded.
var ErrMalformedValue = errors.New("distribution: malformed value in the store")

// readValue reads a key into value and returns its revision; an absent key has
// revision zero.
func readValue(ctx context.Context, store kvstore.Store, key string, value any) (kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrapf(err, "distribution: read %s", key)
	}
	if err := cbor.Unmarshal(entry.Value, value); err != nil {
		return entry.Revision, errors.Mark(errors.Wrapf(err, "distribution: key %s", key), ErrMalformedValue)
	}
	return entry.Revision, nil
}

func writeValue(ctx context.Context, store kvstore.Store, key string, value any, expected kvstore.Revision) (kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return 0, errors.Wrapf(err, "distribution: encode %s", key)
	}
	revision, err := store.CompareAndSwap(ctx, key, encoded, expected)
	return revision, errors.Wrapf(err, "distribution: write %s", key)
}

// ReadContacts returns the contact addresses of a failure domain.
func ReadContacts(ctx context.Context, store kvstore.Store, domain mesh.FailureDomain) ([]string, error) {
	var contacts []string
	_, err := readValue(ctx, store, contactsKey(domain), &contacts)
	return contacts, err
}

// writeContacts replaces the contacts of a failure domain if they differ, and
// returns those that were stored before.
func writeContacts(ctx context.Context, store kvstore.Store, domain mesh.FailureDomain, contacts []string) ([]string, error) {
	var stored []string
	key := contactsKey(domain)
	revision, err := readValue(ctx, store, key, &stored)
	if err != nil && !errors.Is(err, ErrMalformedValue) {
		return nil, err
	}
	if slices.Equal(stored, contacts) {
		return stored, nil
	}
	_, err = writeValue(ctx, store, key, contacts, revision)
	if errors.Is(err, kvstore.ErrConflict) {
		// The other watch holder wrote at the same time. Its contacts stay until those
		// of this watch holder change.
		err = nil
	}
	return stored, err
}
