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
	// ID names the change. It is safe to send the change again under its id.
	ID   string        `json:"id"`
	Base uint64        `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// DrainRequest is the body of POST /v1/drain. Exactly one field is set.
type DrainRequest struct {
	Daemon   string `json:"daemon,omitempty"`
	Upstream string `json:"upstream,omitempty"`
}

// VoterAction is what a VoterRequest does.
type VoterAction string

// Actions on voters.
const (
	AddVoter    VoterAction = "add"
	RemoveVoter VoterAction = "remove"
)

// VoterRequest is the body of POST /v1/voters.
type VoterRequest struct {
	Action VoterAction `json:"action"`
	Log    string      `json:"log"`
	ID     string      `json:"id"`
	// StorageID names the data directory of a voter to remove; empty for all
	// of the instance.
	StorageID string `json:"storageId,omitempty"`
}

// ResentHeader marks the answer to a change that was sent again. The answer is
// that of the first time.
const ResentHeader = "Bluebell-Resent"

// Accepted answers an order.
type Accepted struct {
	Accepted bool `json:"accepted"`
}

func (a *api) commands(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/settings/changes", a.change)
	mux.HandleFunc("PUT /v1/settings/changes", a.change)
	mux.HandleFunc("POST /v1/drain", a.drain)
	mux.HandleFunc("POST /v1/voters", a.changeVoters)
}

func (a *api) change(w http.ResponseWriter, r *http.Request) {
	const step = "settings.change"
	var in ChangeRequest
	if !a.read(w, r, step, &in) {
		return
	}
	result, err := a.Proposer.ProposeChange(r.Context(), settings.Change{
		ID: in.ID, Base: in.Base, Author: operatorName(r.Context()), At: a.Now(), Ops: in.Ops,
	})
	if err != nil {
		a.fail(w, err)
		return
	}
	if result.Code == settings.Duplicate {
		w.Header().Set(ResentHeader, "true")
		result.Code, result.First = result.First, ""
	}
	switch result.Code {
	case settings.Applied:
		respond(w, http.StatusOK, result)
	case settings.Conflicting:
		a.refuse(w, fault.Conflict, result, fmt.Sprintf("the settings changed after revision %d; the newest is %d", in.Base, result.Revision))
	default:
		message := "the change is not valid"
		if len(result.Errors) > 0 {
			message = result.Errors[0].Error()
		}
		a.refuse(w, fault.Invalid, result, message)
	}
}

func (a *api) refuse(w http.ResponseWriter, code fault.Code, result settings.Result, message string) {
	err := a.fault(code, "settings.change", message)
	respond(w, fault.Status(code), ErrorBody{Error: errorOf(err), Result: &result, Problems: result.Errors})
}

func (a *api) drain(w http.ResponseWriter, r *http.Request) {
	var in DrainRequest
	if !a.read(w, r, "drain", &in) {
		return
	}
	if (in.Daemon == "") == (in.Upstream == "") {
		a.fail(w, a.fault(fault.BadRequest, "drain", `accepted: one of "daemon" and "upstream"`))
		return
	}
	order(a, w, r, "drain", a.Orders.Drain, in)
}

func (a *api) changeVoters(w http.ResponseWriter, r *http.Request) {
	var in VoterRequest
	if !a.read(w, r, "voters", &in) {
		return
	}
	if in.Action != AddVoter && in.Action != RemoveVoter || in.Log == "" || in.ID == "" {
		a.fail(w, a.fault(fault.BadRequest, "voters", `accepted: "action" of "add" or "remove", "log" and "id"`))
		return
	}
	order(a, w, r, "voters", a.Orders.ChangeVoters, in)
}

// order carries out an order of this daemon.
func order[T any](a *api, w http.ResponseWriter, r *http.Request, step string, do func(context.Context, T) error, in T) {
	if do == nil {
		a.fail(w, a.fault(fault.NotFound, step, "this daemon does not take the order"))
		return
	}
	if err := do(r.Context(), in); err != nil {
		a.fail(w, err)
		return
	}
	respond(w, http.StatusAccepted, Accepted{Accepted: true})
}
