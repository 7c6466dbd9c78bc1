package operator

import (
	"context"
	"fmt"
	"net/http"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// ChangeRequest is the body of POST and PUT /v1/settings/changes.
type ChangeRequest struct {
	// ID identifies the change. Sending a change again with the same id has no
	// further effect.
	ID   string        `json:"id"`
	Base uint64        `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// DrainRequest is the body of POST /v1/drain. Exactly one field is set.
type DrainRequest struct {
	Daemon   string `json:"daemon,omitempty"`
	Upstream string `json:"upstream,omitempty"`
}

// VoterAction is the action of a VoterRequest.
type VoterAction string

// Actions of a VoterRequest.
const (
	AddVoter    VoterAction = "add"
	RemoveVoter VoterAction = "remove"
)

// VoterRequest is the body of POST /v1/voters.
type VoterRequest struct {
	Action VoterAction `json:"action"`
	Log    string      `json:"log"`
	ID     string      `json:"id"`
	// StorageID selects the data directory of the voter to remove. If empty, all
	// voters of the instance are removed.
	StorageID string `json:"storageId,omitempty"`
}

// HeaderResent marks the response to a change that was sent before. The
// response repeats the first one.
const HeaderResent = "Bluebell-Resent"

// AcceptedResponse is the response to an order.
type AcceptedResponse struct {
	Accepted bool `json:"accepted"`
}

func (a *api) registerCommands(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/settings/changes", a.change)
	mux.HandleFunc("PUT /v1/settings/changes", a.change)
	mux.HandleFunc("POST /v1/drain", a.drain)
	mux.HandleFunc("POST /v1/voters", a.changeVoters)
}

func (a *api) change(w http.ResponseWriter, r *http.Request) {
	const step = "settings.change"
	var in ChangeRequest
	if !a.decodeBody(w, r, step, &in) {
		return
	}
	result, err := a.Proposer.ProposeChange(r.Context(), settings.Change{
		ID: in.ID, Base: in.Base, Author: operatorName(r.Context()), At: a.Now(), Ops: in.Ops,
	})
	if err != nil {
		a.writeError(w, err)
		return
	}
	if result.Code == settings.Duplicate {
		w.Header().Set(HeaderResent, "true")
		result.Code, result.First = result.First, ""
	}
	switch result.Code {
	case settings.Applied:
		writeJSON(w, http.StatusOK, result)
	case settings.Conflicting:
		a.rejectChange(w, fault.Conflict, result, fmt.Sprintf("the settings changed after revision %d; the newest is %d", in.Base, result.Revision))
	default:
		message := "the change is not valid"
		if len(result.Errors) > 0 {
			message = result.Errors[0].Error()
		}
		a.rejectChange(w, fault.Invalid, result, message)
	}
}

// rejectChange writes the error response for a change that was not applied.
func (a *api) rejectChange(w http.ResponseWriter, code fault.Code, result settings.Result, message string) {
	err := a.newError(code, "settings.change", message)
	writeJSON(w, fault.Status(code), ErrorBody{Error: toError(err), Result: &result, Problems: result.Errors})
}

func (a *api) drain(w http.ResponseWriter, r *http.Request) {
	var in DrainRequest
	if !a.decodeBody(w, r, "drain", &in) {
		return
	}
	if (in.Daemon == "") == (in.Upstream == "") {
		a.writeError(w, a.newError(fault.BadRequest, "drain", `accepted: one of "daemon" and "upstream"`))
		return
	}
	executeOrder(a, w, r, "drain", a.Orders.Drain, in)
}

func (a *api) changeVoters(w http.ResponseWriter, r *http.Request) {
	var in VoterRequest
	if !a.decodeBody(w, r, "voters", &in) {
		return
	}
	if in.Action != AddVoter && in.Action != RemoveVoter || in.Log == "" || in.ID == "" {
		a.writeError(w, a.newError(fault.BadRequest, "voters", `accepted: "action" of "add" or "remove", "log" and "id"`))
		return
	}
	executeOrder(a, w, r, "voters", a.Orders.ChangeVoters, in)
}

// executeOrder calls do with the order and writes the response. A nil do means
// that this daemon does not support the order.
func executeOrder[T any](a *api, w http.ResponseWriter, r *http.Request, step string, do func(context.Context, T) error, in T) {
	if do == nil {
		a.writeError(w, a.newError(fault.NotFound, step, "this daemon does not take the order"))
		return
	}
	if err := do(r.Context(), in); err != nil {
		a.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, AcceptedResponse{Accepted: true})
}
