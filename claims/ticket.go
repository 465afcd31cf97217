package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// ShardCount is the number of shards. It is part of the stored format.
const ShardCount = 64

// BucketDuration is the span of times of issue that share a bucket. It is part
// of the stored format.
const BucketDuration = time.Minute

const maxKeyLength = 128

// ShardID numbers a shard, from 0 to ShardCount-1.
type ShardID uint8

// Bucket numbers a span of BucketDuration since the Unix epoch.
type Bucket uint32

// KeyHash is the hash of customer, key and time of issue. It identifies a key within
// its bucket.
type KeyHash [16]byte

// BodyHash is the beginning of the hash of the body. It detects that a key is used
// again with another body.
type BodyHash [8]byte

// Nonce identifies one request. Only the host that drew it releases its claim, and
// after the release the same nonce never claims the key again.
type Nonce [8]byte

// Ticket is the part of a request that is needed to write its claim to the store.
type Ticket struct {
	Shard  ShardID  `cbor:"1,keyasint"`
	Bucket Bucket   `cbor:"2,keyasint"`
	Key    KeyHash  `cbor:"3,keyasint"`
	Body   BodyHash `cbor:"4,keyasint"`
	Nonce  Nonce    `cbor:"5,keyasint"`
}

// newTicket validates a request and draws its nonce.
func (c *Claimer) newTicket(request Request) (Ticket, error) {
	if !isValidKey(request.Key) {
		return Ticket{}, reject(mesh.ReasonKeyRequired, errors.New("claims: key needs 1 to 128 visible ASCII characters")).err()
	}
	now := c.config.Now()
	if err := c.checkIssuedAt(now, request.IssuedAt); err != nil {
		return Ticket{}, reject(mesh.ReasonKeyExpired, err).err()
	}
	t := deriveTicket(request)
	if _, err := io.ReadFull(c.config.Random, t.Nonce[:]); err != nil {
		return Ticket{}, reject(mesh.ReasonStoreUnavailable, errors.Wrap(err, "claims: draw nonce")).err()
	}
	return t, nil
}

func (c *Claimer) checkIssuedAt(now, issued time.Time) error {
	switch {
	case issued.Unix() < 0 || now.Sub(issued) > c.config.Retention:
		return errors.Newf("claims: key issued more than %s ago", c.config.Retention)
	case issued.Sub(now) > c.config.MaxFuture:
		return errors.New("claims: key issued in the future")
	}
	return nil
}

func isValidKey(key string) bool {
	if len(key) == 0 || len(key) > maxKeyLength {
		return false
	}
	return strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

func deriveTicket(request Request) Ticket {
	seconds := request.IssuedAt.Unix()
	identity := binary.AppendUvarint(nil, uint64(len(request.Customer)))
	identity = append(identity, request.Customer...)
	identity = append(identity, request.Key...)
	t := Ticket{
		Shard:  ShardID(xxhash.Sum64(identity) % ShardCount),
		Bucket: bucketAt(request.IssuedAt),
		Body:   BodyHash(request.BodyHash[:8]),
	}
	digest := sha256.Sum256(binary.BigEndian.AppendUint64(identity, uint64(seconds)))
	t.Key = KeyHash(digest[:16])
	return t
}

func bucketAt(t time.Time) Bucket {
	return Bucket(t.Unix() / int64(BucketDuration/time.Second))
}

// keyPrefix returns the prefix of the shard's keys in the store.
func (s ShardID) keyPrefix() string { return fmt.Sprintf("claims/%02d/", uint8(s)) }

// lowWatermarkKey returns the store key whose value is the first valid bucket of the
// shard, in decimal.
func (s ShardID) lowWatermarkKey() string { return s.keyPrefix() + "floor" }

// segmentKey returns the store key of a segment. The keys sort by bucket.
func (s ShardID) segmentKey(b Bucket, number int) string {
	if number == 0 {
		return fmt.Sprintf("%s%010d", s.keyPrefix(), b)
	}
	return fmt.Sprintf("%s%010d.%03d", s.keyPrefix(), b, number)
}

// parseSegmentKey returns the bucket of a segment's store key, and false for a key
// that is not one of the shard's segments.
func (s ShardID) parseSegmentKey(key string) (Bucket, bool) {
	name, ok := strings.CutPrefix(key, s.keyPrefix())
	if !ok {
		return 0, false
	}
	name, _, _ = strings.Cut(name, ".")
	n, err := strconv.ParseUint(name, 10, 32)
	return Bucket(n), err == nil
}
