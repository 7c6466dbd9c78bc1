// Package fault defines the errors that cross package boundaries. Each error
// carries a code, the step and the peer at which it arose, and the outcome of the
// request.
package fault

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Outcome states whether a request ran on an upstream.
type Outcome string

// Outcomes of a request.
const (
	// NotRun is reported only when no byte of the request can have reached an
	// upstream, or when the upstream proves that it did not start the request.
	NotRun Outcome = "not-run"
	// Ran means that the upstream completed the request.
	Ran Outcome = "ran"
	// Unknown means that neither is certain.
	Unknown Outcome = "unknown"
)

// Code identifies a kind of error to callers and operators.
type Code string

// Codes of errors that callers and operators see.
const (
	BadRequest          Code = "bad_request"
	Unauthorized        Code = "unauthorized"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not_found"
	BodyTooLarge        Code = "body_too_large"
	HeaderTooLarge      Code = "header_too_large"
	RateLimited         Code = "rate_limited"
	QueueFull           Code = "queue_full"
	QueueTimeout        Code = "queue_timeout"
	TooManyStreams      Code = "too_many_streams"
	NoUpstream          Code = "no_upstream"
	UpstreamUnreachable Code = "upstream_unreachable"
	UpstreamFailed      Code = "upstream_failed"
	UpstreamTruncated   Code = "upstream_truncated"
	UpstreamProtocol    Code = "upstream_protocol_error"
	ResponseTooLarge    Code = "response_too_large"
	DeadlineExceeded    Code = "deadline_exceeded"
	Quarantined         Code = "quarantined"
	KeyConflict         Code = "idempotency_key_conflict"
	KeyExpired          Code = "idempotency_key_expired"
	OutcomeLost         Code = "outcome_lost"
	ClaimUnavailable    Code = "claim_unavailable"
	Draining            Code = "draining"
	Conflict            Code = "conflict"
	Invalid             Code = "invalid"
	Unavailable         Code = "unavailable"
	Internal            Code = "internal"
)

// statuses maps each code to the HTTP status of the response.
var statuses = map[Code]int{
	BadRequest:          http.StatusBadRequest,
	Unauthorized:        http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	NotFound:            http.StatusNotFound,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	HeaderTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	RateLimited:         http.StatusTooManyRequests,
	QueueFull:           http.StatusServiceUnavailable,
	QueueTimeout:        http.StatusServiceUnavailable,
	TooManyStreams:      http.StatusTooManyRequests,
	NoUpstream:          http.StatusServiceUnavailable,
	UpstreamUnreachable: http.StatusBadGateway,
	UpstreamFailed:      http.StatusBadGateway,
	UpstreamTruncated:   http.StatusBadGateway,
	UpstreamProtocol:    http.StatusBadGateway,
	ResponseTooLarge:    http.StatusBadGateway,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	Quarantined:         http.StatusUnprocessableEntity,
	KeyConflict:         http.StatusConflict,
	KeyExpired:          http.StatusConflict,
	OutcomeLost:         http.StatusConflict,
	ClaimUnavailable:    http.StatusServiceUnavailable,
	Draining:            http.StatusServiceUnavailable,
	Conflict:            http.StatusConflict,
	Invalid:             http.StatusUnprocessableEntity,
	Unavailable:         http.StatusServiceUnavailable,
	Internal:            http.StatusInternalServerError,
}

type contextKey int

const (
	codeKey contextKey = iota
	stepKey
	peerKey
	outcomeKey
	retryAfterKey
)

// Location is the location of an error: the processing step and the peer that
// it involved. Peer is empty for a step without another process.
type Location struct {
	Step string
	Peer string
}

// New returns an error with a code, a location and an outcome.
func New(code Code, at Location, outcome Outcome, message string) error {
	return merry.New(message, details(code, at, outcome)...)
}

// Wrap adds a code, a location and an outcome to err. It returns nil for a nil
// err.
func Wrap(err error, code Code, at Location, outcome Outcome) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, details(code, at, outcome)...)
}

func details(code Code, at Location, outcome Outcome) []merry.Wrapper {
	return []merry.Wrapper{
		merry.NoCaptureStack(),
		merry.WithHTTPCode(Status(code)),
		merry.WithValue(codeKey, code),
		merry.WithValue(stepKey, at.Step),
		merry.WithValue(peerKey, at.Peer),
		merry.WithValue(outcomeKey, outcome),
	}
}

// Status returns the HTTP status for a code, and 500 for an unknown one.
func Status(code Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// CodeOf returns the code of err, or Internal when it has none.
func CodeOf(err error) Code {
	if code, ok := merry.Value(err, codeKey).(Code); ok {
		return code
	}
	return Internal
}

// OutcomeOf returns the outcome of err, or Unknown when it has none.
func OutcomeOf(err error) Outcome {
	if outcome, ok := merry.Value(err, outcomeKey).(Outcome); ok {
		return outcome
	}
	return Unknown
}

// WithRetryAfter adds the delay after which the caller may retry.
func WithRetryAfter(err error, delay time.Duration) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(retryAfterKey, delay))
}

// RetryAfterOf returns the delay after which the caller may retry, or 0 when err
// has none.
func RetryAfterOf(err error) time.Duration {
	delay, _ := merry.Value(err, retryAfterKey).(time.Duration)
	return delay
}

// LocationOf returns the step and the peer at which err arose. Both are empty
// when err has no location.
func LocationOf(err error) Location {
	step, _ := merry.Value(err, stepKey).(string)
	peer, _ := merry.Value(err, peerKey).(string)
	return Location{Step: step, Peer: peer}
}
