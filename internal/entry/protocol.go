package entry

import (
	"net/http"
	"time"
)

// Request is what a caller's headers say.
type Request struct {
	// ID identifies the caller's attempt.
	ID string
	// Patience is how long the caller waits; zero when it does not say.
	Patience time.Duration
	// Key is the caller's secret, empty without one.
	Key string
	// Model is the requested model, empty for plain services.
	Model string
	// PromptTokens and AnswerTokens are the request's size; AnswerTokens is an
	// upper bound.
	PromptTokens, AnswerTokens int
	// ExpectedAnswer is the caller's estimate, zero without one.
	ExpectedAnswer int
	// Resume is the position of the last event that the caller has, -1 for a
	// stream from its beginning.
	Resume int64
}

// Attempt is what the headers of one send to an upstream say.
type Attempt struct {
	// Upstream must be the one that answers.
	Upstream  string
	Remaining time.Duration
	// Account is the name of the client account, empty without one.
	Account  string
	Priority int
	// Deferred requests give way to others of any priority.
	Deferred bool
	// Resume is as in Request.
	Resume int64
}

// Answer is what the headers of an upstream's answer say.
type Answer struct {
	// ID is the request's id as the upstream echoes it, empty without.
	ID string
	// NotRun proves that the request has not run and never will.
	NotRun bool
	// Load is set when the upstream told its load.
	Load *Load
}

// Load is what an upstream runs.
type Load struct {
	Running, Waiting, Slots int
}

// Protocol reads and writes the headers of callers and upstreams.
type Protocol interface {
	// ParseRequest reads a caller's headers. An error refuses the request.
	ParseRequest(r *http.Request) (Request, error)
	// WriteAttempt sets the headers of a send. Header starts as a copy of the
	// caller's without those that concern one connection.
	WriteAttempt(header http.Header, a Attempt)
	// ParseAnswer reads the headers of an upstream's answer.
	ParseAnswer(resp *http.Response) Answer
	// Refuse sets the headers of an answer of the entry's own: retryAfter says
	// when to come back, zero when it is not known.
	Refuse(header http.Header, requestID string, retryAfter time.Duration)
}
