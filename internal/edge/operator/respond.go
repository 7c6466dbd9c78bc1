package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Error is the error of an answer.
type Error struct {
	Code    fault.Code    `json:"code"`
	Message string        `json:"message"`
	Outcome fault.Outcome `json:"outcome"`
	Step    string        `json:"step,omitempty"`
	Peer    string        `json:"peer,omitempty"`
}

// ErrorBody is the body of an answer with an error.
type ErrorBody struct {
	Error Error `json:"error"`
	// Result is the answer to a settings change that was not applied.
	Result *settings.Result `json:"result,omitempty"`
	// Problems lists what is wrong with the request.
	Problems []settings.Problem `json:"problems,omitempty"`
}

// fault returns an error that arises on this daemon before anything ran.
func (a *api) fault(code fault.Code, step, message string) error {
	return fault.New(code, fault.At{Step: step, Peer: a.Daemon}, fault.NotRun, message)
}

func (a *api) fail(w http.ResponseWriter, err error) {
	respond(w, fault.Status(fault.CodeOf(err)), ErrorBody{Error: errorOf(err)})
}

// failRead answers a query whose source failed. A settings problem is the
// request's fault, such as a path that does not exist.
func (a *api) failRead(w http.ResponseWriter, step string, err error) {
	var p settings.Problem
	if errors.As(err, &p) {
		code := fault.Invalid
		if p.Code == settings.NoNode {
			code = fault.NotFound
		}
		body := ErrorBody{Error: errorOf(a.fault(code, step, p.Error())), Problems: []settings.Problem{p}}
		respond(w, fault.Status(code), body)
		return
	}
	if fault.Location(err) == (fault.At{}) {
		err = fault.Wrap(err, fault.CodeOf(err), fault.At{Step: step, Peer: a.Daemon}, fault.NotRun)
	}
	a.fail(w, err)
}

func errorOf(err error) Error {
	at := fault.Location(err)
	return Error{Code: fault.CodeOf(err), Message: err.Error(), Outcome: fault.OutcomeOf(err), Step: at.Step, Peer: at.Peer}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the operator has gone.
	_ = json.NewEncoder(w).Encode(body)
}

// read decodes the body of a command and refuses unknown fields.
func (a *api) read(w http.ResponseWriter, r *http.Request, step string, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, extra := d.Token(); extra != io.EOF {
			err = errors.New("more follows the JSON object")
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
	a.fail(w, a.fault(code, step, "read the request: "+err.Error()))
	return false
}
