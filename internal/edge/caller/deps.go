// Package caller implements the HTTP API for callers: OpenAI-compatible chat
// completions, with and without streaming, and plain services selected by route.
// It takes a request through authentication, admission, the claim of its
// idempotency key, the selection of an upstream and the attempts, and reports
// the outcome to the caller.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Class is the priority class of a client account.
type Class string

// Priority classes of client accounts.
const (
	Paying Class = "paying"
	Free   Class = "free"
)

// Account is the client account that a request was authenticated as.
type Account struct {
	ID    string
	Class Class
}

// Route holds the settings in force for a request.
type Route struct {
	Service string
	Kind    membership.Kind
	Model   string
	// Idempotent allows another attempt after an unknown outcome.
	Idempotent bool
	// ForwardKey forwards the caller's idempotency key to the upstream.
	ForwardKey bool
	// NotStarted lists the responses by which an upstream proves that it did
	// not start a request.
	NotStarted []settings.NotStartedResponse
	// DropHeaders lists request headers that are not forwarded to upstreams.
	DropHeaders      []string
	Timeout          time.Duration
	FirstByteTimeout time.Duration
	// IdleTimeout limits the time between two events of a stream.
	IdleTimeout      time.Duration
	MaxBodyBytes     int64
	MaxResponseBytes int64
	MaxHeaderBytes   int
}

// Policy looks up accounts, routes and limits in the settings in force.
type Policy interface {
	// Account authenticates a bearer key, which is empty for an anonymous
	// caller.
	Account(key string) (Account, error)
	// Route finds the service of a call. Model is empty for plain services.
	Route(account Account, method, path, model string) (Route, error)
	// MaxBodyBytes limits the size of a body whose service is not yet known.
	MaxBodyBytes() int64
}

// RequestInfo describes a request for admission, routing and quarantine.
type RequestInfo struct {
	RequestID string
	Account   Account
	Route     Route
	Model     string
	// Tokens is the estimated number of tokens in the prompt and the answer.
	Tokens int
	// Prompt is the start of the text whose prefix an engine may have cached.
	Prompt string
	// Digest is a hash of account, service, method, URI and body. It does not
	// depend on the request id.
	Digest [32]byte
	// Parts are hashes of the messages of a chat other than the last, which
	// other requests may share.
	Parts    [][32]byte
	Deadline time.Time
}

// unknownTokens is the usage of a request whose token count is not known. The
// estimate of RequestInfo.Tokens then applies.
const unknownTokens = -1

// Usage is the resource consumption of a finished request.
type Usage struct {
	// Tokens counts the tokens of prompt and answer. Negative means unknown.
	Tokens int
}

// Slot is the permission of an admitted request to run.
type Slot interface {
	// Preempted returns a channel that is closed when a paying request needs
	// the slot.
	Preempted() <-chan struct{}
	// Yield gives up the slot after a preemption and waits to be admitted
	// again.
	Yield(ctx context.Context) error
	// Release frees the slot and records what the request used.
	Release(Usage)
}

// Admitter implements admission control.
type Admitter interface {
	// Admit waits until the request may run, its deadline passes, or it is
	// rejected.
	Admit(ctx context.Context, info *RequestInfo) (Slot, error)
}

// Picker selects upstreams.
type Picker interface {
	// Pick selects an upstream for an attempt. tried lists the upstreams of
	// earlier attempts. Pick blocks only while quarantine delays the request, at
	// most until the deadline or the end of ctx.
	Pick(ctx context.Context, info *RequestInfo, attempt int, tried []string) (Choice, error)
}

// Choice is a selected upstream and receives the result of the attempt there.
type Choice interface {
	Target() upstream.Target
	// Reason is a short explanation of the selection, for tracing.
	Reason() string
	// HonoursPriority reports whether the engine orders its batch by priority.
	HonoursPriority() bool
	// CanResume reports whether the engine can resume interrupted streams.
	CanResume() bool
	// OutlivesCaller reports whether the attempt continues until it ends or the
	// request's deadline passes, even if the caller disconnects.
	OutlivesCaller() bool
	// FirstByte records the time to the first byte of the response.
	FirstByte()
	// NamedLimit records the requests per second that an answer of the upstream
	// names as its limit; named is false if it names none.
	NamedLimit(rate float64, named bool)
	// Leaving records that an answer of the upstream said that it is leaving.
	Leaving()
	// Pause records that the upstream refused the request and wants no others from
	// this entry for a time.
	Pause(pause time.Duration)
	// Ended checks whether the upstream has ended since the attempt began.
	Ended() bool
	// Progressed records that a stream has come past the start of its answer.
	Progressed()
	// Finish records the result of the attempt.
	Finish(Result)
}

// Result is the result of an attempt, as reported to the Picker.
type Result struct {
	OK bool
	// Broken means that the connection broke while the request was in flight.
	// The request may have crashed the upstream.
	Broken bool
	// Cancelled means that the attempt was cancelled or preempted, so its result
	// says nothing about the health of the upstream.
	Cancelled bool
	// NotRun means that the request is proven not to have run.
	NotRun bool
	Err    error
}

// Retrier enforces the retry budget.
type Retrier interface {
	// RecordFirstAttempt records a first attempt. The retry budget is proportional
	// to the number of first attempts.
	RecordFirstAttempt(info *RequestInfo)
	// Next returns the backoff before another attempt, or false if none is
	// allowed.
	Next(info *RequestInfo, attempt int, outcome fault.Outcome) (time.Duration, bool)
}

// Quarantine rejects requests that are known to crash upstreams.
type Quarantine interface {
	// Check returns an error if the digest is quarantined.
	Check(info *RequestInfo) error
}

// ClaimID identifies a claim of an idempotency key.
type ClaimID struct {
	Account string
	Route   string
	Key     string
	// Holder is the id of the request that holds the claim.
	Holder string
}

// ClaimState is the state of the claim of an idempotency key.
type ClaimState int

// States of a claim, as seen by the request that asked for it.
const (
	ClaimGranted ClaimState = iota + 1
	ClaimRunning
	ClaimDone
	ClaimUnknown
)

// RecordedAnswer is the recorded response to a claimed request. Stored is false
// if the body was too large to store.
type RecordedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Stored bool
}

// Claimer claims idempotency keys. A claim holds on all entry instances.
type Claimer interface {
	// Claim asks for permission to run the request. An error with outcome
	// NotRun means that no claim was granted under which the request could run.
	Claim(ctx context.Context, id ClaimID, body [32]byte) (ClaimState, RecordedAnswer, error)
	// Await blocks until a claim held by another request is no longer running.
	Await(ctx context.Context, id ClaimID, body [32]byte) (ClaimState, RecordedAnswer, error)
	// Complete records the answer. A nil answer records that the outcome is
	// lost.
	Complete(id ClaimID, answer *RecordedAnswer)
	// Release drops the claim of a request that did not run.
	Release(id ClaimID)
}

// Deps holds the dependencies of a Handler.
type Deps struct {
	Policy     Policy
	Admitter   Admitter
	Picker     Picker
	Retrier    Retrier
	Quarantine Quarantine
	Claimer    Claimer
	Client     *upstream.Client
}
