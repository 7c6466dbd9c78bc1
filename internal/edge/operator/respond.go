package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Error is an error in a response.
type Error struct {
	Code    fault.Code    `json:"code"`
	Message string        `json:"message"`
	Outcome fault.Outcome `json:"outcome"`
	Step    string        `json:"step,omitempty"`
	Peer    string        `json:"peer,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
	// Result is set for a settings change that was not applied.
	Result *settings.Result `json:"result,omitempty"`
	// Problems lists the validation errors of the request.
	Problems []settings.Problem `json:"problems,omitempty"`
}

// newError returns an error that occurs on this daemon before any part of the
// request has run.
func (a *api) newError(code fault.Code, step, message string) error {
	return fault.New(code, fault.Location{Step: step, Peer: a.Daemon}, fault.NotRun, message)
}

func (a *api) writeError(w http.ResponseWriter, err error) {
	writeJSON(w, fault.Status(fault.CodeOf(err)), ErrorBody{Error: toError(err)})
}

// writeReadError writes the error response for a query whose source failed. A
// settings.Problem is reported as an error in the request, such as a path that
// does not exist.
func (a *api) writeReadError(w http.ResponseWriter, step string, err error) {
	var p settings.Problem
	if errors.As(err, &p) {
		code := fault.Invalid
		if p.Code == settings.NodeNotFound {
			code = fault.NotFound
		}
		body := ErrorBody{Error: toError(a.newError(code, step, p.Error())), Problems: []settings.Problem{p}}
		writeJSON(w, fault.Status(code), body)
		return
	}
	if fault.LocationOf(err) == (fault.Location{}) {
		err = fault.Wrap(err, fault.CodeOf(err), fault.Location{Step: step, Peer: a.Daemon}, fault.NotRun)
	}
	a.writeError(w, err)
}

func toError(err error) Error {
	at := fault.LocationOf(err)
	return Error{Code: fault.CodeOf(err), Message: err.Error(), Outcome: fault.OutcomeOf(err), Step: at.Step, Peer: at.Peer}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// decodeBody decodes the JSON body of a command and rejects unknown fields. On an
// error it writes the response and returns false.
func (a *api) decodeBody(w http.ResponseWriter, r *http.Request, step string, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, extra := d.Token(); extra != io.EOF {
			err = errors.New("unexpected data after the JSON object")
		}
	}
	if err == nil {
		return true
	}
	code := fault.BadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code = fault.BodyTooLarge
	}
	a.writeError(w, a.newError(code, step, "decode the request: "+err.Error()))
	return false
}
