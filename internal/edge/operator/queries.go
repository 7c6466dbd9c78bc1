package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Rows answers a query of a list.
type Rows[T any] struct {
	Daemon string `json:"daemon"`
	Rows   []T    `json:"rows"`
	// Total counts the rows that match, of which Rows may be the first.
	Total int `json:"total"`
}

// Explanation answers GET /v1/settings/explain.
type Explanation struct {
	Revision uint64             `json:"revision"`
	Path     string             `json:"path"`
	Settings []settings.Setting `json:"settings"`
}

// RollbackPlan answers GET /v1/settings/rollback with a change that restores a
// revision.
type RollbackPlan struct {
	Base uint64        `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// Wait answers GET /v1/settings/wait.
type Wait struct {
	Revision uint64 `json:"revision"`
	// Done is true when every daemon has the revision in force.
	Done    bool          `json:"done"`
	Have    []Propagation `json:"have"`
	Missing []Propagation `json:"missing"`
}

func (a *api) queries(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/settings", a.tree)
	mux.HandleFunc("GET /v1/settings/explain", a.explain)
	mux.HandleFunc("GET /v1/settings/history", a.history)
	mux.HandleFunc("GET /v1/settings/diff", a.diff)
	mux.HandleFunc("GET /v1/settings/rollback", a.rollback)
	mux.HandleFunc("GET /v1/settings/wait", a.wait)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /v1/upstreams", list(a, "upstreams", a.Sources.Upstreams))
	mux.HandleFunc("GET /v1/groups", list(a, "groups", a.Sources.Groups))
	mux.HandleFunc("GET /v1/queues", list(a, "queues", a.Sources.Queues))
	mux.HandleFunc("GET /v1/limits", list(a, "limits", a.Sources.Limits))
	mux.HandleFunc("GET /v1/quarantines", list(a, "quarantines", a.Sources.Quarantines))
	mux.HandleFunc("GET /v1/peers", list(a, "peers", a.Sources.Peers))
	mux.HandleFunc("GET /v1/traces", list(a, "traces", a.Sources.Traces))
	mux.HandleFunc("GET /v1/voters", list(a, "voters", a.Sources.Voters))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		a.fail(w, a.fault(fault.NotFound, "operator.route", r.Method+" "+r.URL.Path+" does not exist"))
	})
}

// number reads a query parameter that is a number. It answers the request
// itself when the parameter is not one.
func (a *api) number(w http.ResponseWriter, r *http.Request, name string, otherwise uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		a.fail(w, a.fault(fault.BadRequest, "operator.query", fmt.Sprintf("parameter %q is %q, accepted: a whole number", name, text)))
		return 0, false
	}
	return n, true
}

func (a *api) tree(w http.ResponseWriter, r *http.Request) {
	t, ok := a.treeOf(w, r)
	if ok {
		respond(w, http.StatusOK, t)
	}
}

// treeOf reads the newest tree, or the one of the parameter "revision".
func (a *api) treeOf(w http.ResponseWriter, r *http.Request) (*settings.Tree, bool) {
	revision, ok := a.number(w, r, "revision", 0)
	if !ok {
		return nil, false
	}
	read := a.Reader.Tree
	if r.URL.Query().Has("revision") {
		read = func(ctx context.Context) (*settings.Tree, error) { return a.Reader.TreeAt(ctx, revision) }
	}
	t, err := read(r.Context())
	if err != nil {
		a.failRead(w, "settings.read", err)
		return nil, false
	}
	return t, true
}

func (a *api) explain(w http.ResponseWriter, r *http.Request) {
	t, ok := a.treeOf(w, r)
	if !ok {
		return
	}
	path, key := r.URL.Query().Get("path"), r.URL.Query().Get("key")
	out := Explanation{Revision: t.Revision(), Path: path}
	var err error
	if key == "" {
		out.Settings, err = t.Explain(path)
	} else {
		s := settings.Setting{Key: key}
		s.Value, s.Origin, err = t.Effective(path, key)
		out.Settings = []settings.Setting{s}
	}
	if err != nil {
		a.failRead(w, "settings.explain", err)
		return
	}
	respond(w, http.StatusOK, out)
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	after, ok := a.number(w, r, "after", 0)
	if !ok {
		return
	}
	limit, ok := a.number(w, r, "limit", defaultRows)
	if !ok {
		return
	}
	records, err := a.Reader.History(r.Context(), after)
	if err != nil {
		a.failRead(w, "settings.history", err)
		return
	}
	out := Rows[settings.Record]{Daemon: a.Daemon, Total: len(records), Rows: present(records)}
	if uint64(len(records)) > limit {
		// The newest are the ones asked for.
		out.Rows = records[uint64(len(records))-limit:]
	}
	respond(w, http.StatusOK, out)
}

func (a *api) diff(w http.ResponseWriter, r *http.Request) {
	from, ok := a.number(w, r, "from", 0)
	if !ok {
		return
	}
	newest, err := a.Reader.Tree(r.Context())
	if err != nil {
		a.failRead(w, "settings.diff", err)
		return
	}
	to, ok := a.number(w, r, "to", newest.Revision())
	if !ok {
		return
	}
	rows, err := a.Reader.Diff(r.Context(), from, to)
	if err != nil {
		a.failRead(w, "settings.diff", err)
		return
	}
	respond(w, http.StatusOK, Rows[settings.Difference]{Daemon: a.Daemon, Rows: present(rows), Total: len(rows)})
}

func (a *api) rollback(w http.ResponseWriter, r *http.Request) {
	revision, ok := a.number(w, r, "revision", 0)
	if !ok {
		return
	}
	ops, base, err := a.Reader.Rollback(r.Context(), revision)
	if err != nil {
		a.failRead(w, "settings.rollback", err)
		return
	}
	respond(w, http.StatusOK, RollbackPlan{Base: base, Ops: ops})
}

func (a *api) status(w http.ResponseWriter, r *http.Request) {
	if a.Sources.Status == nil {
		a.fail(w, a.fault(fault.NotFound, "status", "this daemon has no status"))
		return
	}
	s, err := a.Sources.Status(r.Context())
	if err != nil {
		a.failRead(w, "status", err)
		return
	}
	respond(w, http.StatusOK, s)
}

// list serves the rows of a source that match the filters of the request.
func list[T row](a *api, name string, source func(context.Context) ([]T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if source == nil {
			a.fail(w, a.fault(fault.NotFound, name, "this daemon has no "+name))
			return
		}
		limit, ok := a.number(w, r, "limit", 0)
		if !ok {
			return
		}
		rows, err := source(r.Context())
		if err != nil {
			a.failRead(w, name, err)
			return
		}
		out := Rows[T]{Daemon: a.Daemon, Rows: []T{}}
		for _, row := range rows {
			if !matchesAll(row, r) {
				continue
			}
			out.Total++
			if limit == 0 || uint64(len(out.Rows)) < limit {
				out.Rows = append(out.Rows, row)
			}
		}
		respond(w, http.StatusOK, out)
	}
}

// present returns rows as a list that is never null in JSON.
func present[T any](rows []T) []T {
	if rows == nil {
		return []T{}
	}
	return rows
}

func matchesAll(row row, r *http.Request) bool {
	query := r.URL.Query()
	for _, filter := range filters {
		if value := query.Get(filter); value != "" && !row.match(filter, value) {
			return false
		}
	}
	return true
}

// wait answers when every daemon has a revision in force, or when the time is
// over, with who has it and who does not.
func (a *api) wait(w http.ResponseWriter, r *http.Request) {
	const step = "settings.wait"
	if a.Sources.Propagation == nil {
		a.fail(w, a.fault(fault.NotFound, step, "this daemon does not count the revisions in force"))
		return
	}
	revision, ok := a.number(w, r, "revision", 0)
	if !ok {
		return
	}
	millis, ok := a.number(w, r, "timeoutMs", uint64(defaultWait.Milliseconds()))
	if !ok {
		return
	}
	timeout := time.Duration(min(millis, uint64(maxWait.Milliseconds()))) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	poll := time.NewTicker(a.PollInterval)
	defer poll.Stop()
	for {
		// The source is read with the context of the request, so that the last
		// read is not cut short by the end of the wait.
		rows, err := a.Sources.Propagation(r.Context())
		if err != nil {
			a.failRead(w, step, err)
			return
		}
		out := split(revision, rows)
		if out.Done || ctx.Err() != nil {
			respond(w, http.StatusOK, out)
			return
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
}

// split says which daemons have a revision. No daemon at all is not all of
// them.
func split(revision uint64, rows []Propagation) Wait {
	out := Wait{Revision: revision, Have: []Propagation{}, Missing: []Propagation{}}
	for _, p := range rows {
		if p.Revision >= revision {
			out.Have = append(out.Have, p)
		} else {
			out.Missing = append(out.Missing, p)
		}
	}
	out.Done = len(out.Missing) == 0 && len(rows) > 0
	return out
}
