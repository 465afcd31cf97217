package proxy

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"time"

	"geraniumnotch.example/geraniumnotch/claims"
	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/mesh"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

const (
	// maxKeyLength bounds an idempotency key.
	maxKeyLength = 128
	// releaseTimeout bounds the write that releases a claim.
	releaseTimeout = 30 * time.Second
	// releaseWait is how long the response to the caller waits for that write.
	releaseWait = 500 * time.Millisecond
)

var eventClaimNotFinished = events.Define(2200, hclog.Warn, "claim of an idempotency key not released or completed",
	"The store did not accept the release or completion of a claim. The key stays claimed until its retention ends, which is safe; duplicates are answered as in progress.")

// Claims claims idempotency keys.
type Claims interface {
	// Claim claims the key for one call. The error is a *claims.Rejection if the
	// claim was rejected.
	Claim(ctx context.Context, request claims.Request) (Claim, error)
}

// Claim is a claimed key.
type Claim interface {
	// Release frees the key after a call that was not executed.
	Release(ctx context.Context) error
	// Complete records that the call was executed, with its response status.
	Complete(ctx context.Context, status int) error
}

// ClaimSource is a claims.Claimer or a claims.Router.
type ClaimSource interface {
	Claim(ctx context.Context, request claims.Request) (*claims.Claim, error)
}

// ClaimsFrom adapts a claimer or router of package claims to Claims.
func ClaimsFrom(source ClaimSource) Claims { return claimSource{source} }

type claimSource struct{ ClaimSource }

// Claim implements Claims. On an error it returns a nil interface, not an
// interface that holds a nil *claims.Claim.
func (s claimSource) Claim(ctx context.Context, request claims.Request) (Claim, error) {
	claim, err := s.ClaimSource.Claim(ctx, request)
	if err != nil {
		return nil, err
	}
	return claim, nil
}

// claimKey claims the key of a keyed call unless a stored response is replayed.
func (c *call) claimKey() *callFailure {
	if !c.route.Keyed {
		return nil
	}
	request, failure := c.claimRequest()
	if failure != nil {
		return failure
	}
	if c.entry.cfg.Claims == nil {
		return notExecuted(mesh.ReasonStoreUnavailable, "this node has no store for idempotency keys")
	}
	if failure := c.awaitOriginal(request); failure != nil || c.replay != nil {
		return failure
	}
	claim, err := c.entry.cfg.Claims.Claim(c.ctx, request)
	if err == nil {
		c.claim = claim
		return nil
	}
	var rejection *claims.Rejection
	if errors.As(err, &rejection) {
		return &callFailure{outcome: rejection.Outcome, reason: rejection.Reason}
	}
	return notExecuted(mesh.ReasonStoreUnavailable, "the idempotency key could not be claimed")
}

func (c *call) claimRequest() (claims.Request, *callFailure) {
	key := c.r.Header.Get(mesh.HeaderIdempotencyKey)
	seconds, err := strconv.ParseInt(c.r.Header.Get(mesh.HeaderIssuedAt), 10, 64)
	switch {
	case !isValidKey(key):
		return claims.Request{}, notExecuted(mesh.ReasonKeyRequired, "the route needs Idempotency-Key, 1 to 128 visible characters")
	case err != nil || seconds < 0:
		return claims.Request{}, notExecuted(mesh.ReasonKeyRequired, "the route needs "+mesh.HeaderIssuedAt+", the Unix time in seconds")
	}
	return claims.Request{
		Customer: c.customer.ID, Key: key, IssuedAt: time.Unix(seconds, 0), BodyHash: requestHash(c.r, c.body.buffered),
	}, nil
}

func isValidKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// requestHash covers the method and target as well as the body, so that a key that
// is used again for another path is a conflict and not a duplicate.
func requestHash(r *http.Request, body []byte) (sum [32]byte) {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = h.Write(body)
	h.Sum(sum[:0])
	return sum
}

// finishClaim releases or completes the claim according to the outcome. After an
// unknown outcome the claim stays, because the call may have been executed.
func (c *call) finishClaim(outcome mesh.Outcome, status int) {
	claim := c.claim
	if claim == nil || outcome == mesh.OutcomeUnknown {
		return
	}
	c.claim = nil
	if outcome == mesh.OutcomeNotExecuted {
		c.release(claim)
		return
	}
	c.logClaimError(claim.Complete(context.WithoutCancel(c.r.Context()), status))
}

// release frees the key, even if the caller cancelled the call. It waits for the
// store up to releaseWait, so that a client retry finds the key free, and
// continues in the background after that.
func (c *call) release(claim Claim) {
	done := make(chan struct{})
	c.entry.calls.begin()
	go func() {
		defer c.entry.calls.end()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), releaseTimeout)
		defer cancel()
		c.logClaimError(claim.Release(ctx))
	}()
	timer := time.NewTimer(releaseWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (c *call) logClaimError(err error) {
	if err != nil {
		eventClaimNotFinished.Log(c.entry.cfg.Logger, "call", c.id, "error", err)
	}
}
