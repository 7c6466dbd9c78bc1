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

// Headers that callers see.
const (
	HeaderOutcome        = "Bluebell-Outcome"
	HeaderRequestID      = "Bluebell-Request-Id"
	HeaderReplayed       = "Bluebell-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
)

// Steps named in errors.
const (
	StepAuthenticate = "authenticate"
	StepRead         = "read"
	StepRoute        = "route"
	StepAdmit        = "admit"
	StepClaim        = "claim"
	StepPick         = "pick"
	StepRelay        = "relay"
)

// leastRetryAfter is the delay suggested to a caller whose request was refused
// for lack of capacity without a better estimate.
const leastRetryAfter = time.Second

// errorBody is the JSON shape of an error, compatible with OpenAI clients.
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
	at := fault.Location(err)
	// Marshalling a struct of strings cannot fail.
	data, _ := json.Marshal(errorBody{errorDetail{
		Code: fault.CodeOf(err), Type: "bluebellfield_error", Message: err.Error(), Outcome: fault.OutcomeOf(err),
		Step: at.Step, Peer: at.Peer, RequestID: requestID,
	}})
	return data
}

// writeError answers a request whose response has not begun.
func writeError(w http.ResponseWriter, requestID string, err error) {
	status := fault.Status(fault.CodeOf(err))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, requestID)
	h.Set(HeaderOutcome, string(fault.OutcomeOf(err)))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		delay := max(fault.RetryAfterOf(err), leastRetryAfter)
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(encodeError(requestID, err))
}

// errorEvent is the last event of a broken stream.
func errorEvent(requestID string, err error) []byte {
	return sse.Append(nil, &sse.Event{Name: "error", Position: -1, Data: encodeError(requestID, err)})
}
