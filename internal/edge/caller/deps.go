// Package caller serves callers over HTTP: OpenAI-compatible chat completions,
// streamed and whole, and plain services by route. It carries a request
// through authentication, admission, the claim of its idempotency key, the
// choice of an upstream and the attempts, and tells the caller what became of
// it.
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

// Class of a client account.
type Class string

// Classes of client account.
const (
	Paying Class = "paying"
	Free   Class = "free"
)

// Account is a client account that a request was authenticated as.
type Account struct {
	ID    string
	Class Class
}

// Route is what the settings in force say about a request.
type Route struct {
	Service string
	Kind    membership.Kind
	Model   string
	// Idempotent calls may be sent again after an unknown outcome.
	Idempotent bool
	// ForwardKey passes the caller's idempotency key on to the upstream.
	ForwardKey bool
	// NotStarted lists the responses by which an upstream proves that it did
	// not start a request.
	NotStarted []settings.Proof
	// DropHeaders names request headers that upstreams must not see.
	DropHeaders      []string
	Timeout          time.Duration
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the time between two events of a stream.
	IdleTimeout      time.Duration
	MaxBodyBytes     int64
	MaxResponseBytes int64
	MaxHeaderBytes   int
}

// Policy answers from the settings in force.
type Policy interface {
	// Account authenticates a bearer key; the key is empty for an anonymous
	// caller.
	Account(key string) (Account, error)
	// Route finds the service of a call. Model is empty for plain services.
	Route(account Account, method, path, model string) (Route, error)
	// MaxBodyBytes bounds a body before its service is known.
	MaxBodyBytes() int64
}

// Work describes a request to admission, routing and quarantine.
type Work struct {
	RequestID string
	Account   Account
	Route     Route
	Model     string
	// Tokens estimates the tokens of prompt and answer.
	Tokens int
	// Prompt is the text whose prefix an engine may have cached.
	Prompt string
	// Digest identifies the request by account, service and body, whatever its
	// request id.
	Digest   [32]byte
	Deadline time.Time
}

// unknownTokens is the usage of a request whose tokens are not known, so that
// the estimate stands.
const unknownTokens = -1

// Usage is what a request consumed.
type Usage struct {
	// Tokens counts prompt and answer; a negative number is unknown.
	Tokens int
}

// Slot is an admitted request's right to run.
type Slot interface {
	// Preempted is closed when the request must give way to paying work.
	Preempted() <-chan struct{}
	// Yield gives the place up after a preemption and waits for another one.
	Yield(ctx context.Context) error
	Release(Usage)
}

// Admitter decides when a request may run.
type Admitter interface {
	// Admit waits until the request may run, its deadline passes, or it is
	// rejected.
	Admit(ctx context.Context, w *Work) (Slot, error)
}

// Picker chooses upstreams.
type Picker interface {
	// Pick chooses an upstream for an attempt; tried lists the upstreams of
	// the attempts before it. It waits until the request may run, its deadline
	// passes, or ctx ends.
	Pick(ctx context.Context, w *Work, attempt int, tried []string) (Choice, error)
}

// Choice is a chosen upstream and the record of an attempt at it.
type Choice interface {
	Target() upstream.Target
	// Reason says in a few words why the upstream was chosen.
	Reason() string
	// HonoursPriority reports whether the engine orders its batch by priority.
	HonoursPriority() bool
	// CanResume reports whether the engine resumes streams.
	CanResume() bool
	// OutlivesCaller reports whether the attempt runs to its end, or to the
	// request's deadline, although its caller goes away.
	OutlivesCaller() bool
	// FirstByte records the time to the first byte of the answer.
	FirstByte()
	// Finish ends the attempt.
	Finish(Result)
}

// Result of an attempt.
type Result struct {
	OK bool
	// Broken means that the connection broke while the request was in flight,
	// so that the request may have crashed the upstream.
	Broken bool
	// Cancelled attempts say nothing about the upstream.
	Cancelled bool
	// NotSent means that no byte reached the upstream.
	NotSent bool
	Err     error
}

// Retrier allows or refuses further attempts.
type Retrier interface {
	// First counts a first attempt, from which the budget grows.
	First(w *Work)
	// Next returns how long to wait before another attempt, or false.
	Next(w *Work, attempt int, outcome fault.Outcome) (time.Duration, bool)
}

// Quarantine refuses requests that crash upstreams.
type Quarantine interface {
	// Check returns an error when the digest is quarantined.
	Check(w *Work) error
}

// ClaimID names a granted claim.
type ClaimID struct {
	Account string
	Route   string
	Key     string
	// Holder names the request that holds the claim.
	Holder string
}

// ClaimState is what the claim of a key says.
type ClaimState int

// States of a claim.
const (
	ClaimGranted ClaimState = iota + 1
	ClaimRunning
	ClaimDone
	ClaimUnknown
)

// Answer is a stored answer. Stored is false when the body was too large to
// keep.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Stored bool
}

// Claimer makes claims of idempotency keys that hold on every entry instance.
type Claimer interface {
	// Claim asks for the right to run. Errors with outcome NotRun mean that
	// nothing was granted that could run.
	Claim(ctx context.Context, id ClaimID, body [32]byte) (ClaimState, Answer, error)
	// Await waits until a claim that another request holds is no longer
	// running.
	Await(ctx context.Context, id ClaimID, body [32]byte) (ClaimState, Answer, error)
	// Complete records the answer, or the loss of the outcome for nil.
	Complete(id ClaimID, answer *Answer)
	// Release gives up a claim whose request reached no upstream.
	Release(id ClaimID)
}

// Deps are the parts that a Handler uses.
type Deps struct {
	Policy     Policy
	Admitter   Admitter
	Picker     Picker
	Retrier    Retrier
	Quarantine Quarantine
	Claimer    Claimer
	Client     *upstream.Client
}
