package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/sse"
)

// Headers of the callers' HTTP API.
const (
	HeaderOutcome        = "Bluebell-Outcome"
	HeaderRequestID      = "Bluebell-Request-Id"
	HeaderReplayed       = "Bluebell-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
)

// Processing steps, reported in errors.
const (
	StepAuthenticate = "authenticate"
	StepRead         = "read"
	StepRoute        = "route"
	StepAdmit        = "admit"
	StepClaim        = "claim"
	StepPick         = "pick"
	StepRelay        = "relay"
)

// minRetryAfter is the lower bound of the Retry-After header. It applies when an
// error carries no estimate of its own.
const minRetryAfter = time.Second

// errorBody is the JSON body of an error response, compatible with OpenAI
// clients.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      fault.Code    `json:"code"`
	Type      string        `json:"type"`
	Message   string        `json:"message"`
	Outcome   fault.Outcome `json:"outcome"`
	Step      string        `json:"step"`
	Peer      string        `json:"peer,omitempty"`
	RequestID string        `json:"request_id"`
}

func encodeError(requestID string, err error) []byte {
	at := fault.LocationOf(err)
	// Marshalling a struct of strings cannot fail.
	data, _ := json.Marshal(errorBody{errorDetail{
		Code: fault.CodeOf(err), Type: "bluebellfield_error", Message: fault.Public(err.Error()), Outcome: fault.OutcomeOf(err),
		Step: at.Step, Peer: fault.Public(at.Peer), RequestID: requestID,
	}})
	return data
}

// writeError writes an error response. The response must not have started.
func writeError(w http.ResponseWriter, requestID string, err error) {
	status := fault.Status(fault.CodeOf(err))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, requestID)
	h.Set(HeaderOutcome, string(fault.OutcomeOf(err)))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		delay := max(fault.RetryAfterOf(err), minRetryAfter)
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(encodeError(requestID, err))
}

// errorEvent encodes err as the final event of a failed stream.
func errorEvent(requestID string, err error) []byte {
	return sse.Append(nil, &sse.Event{Name: "error", Position: -1, Data: encodeError(requestID, err)})
}
