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

// ListResponse is the response to a list query.
type ListResponse[T any] struct {
	Daemon string `json:"daemon"`
	Rows   []T    `json:"rows"`
	// Total is the number of matching rows. Rows may hold only some of them.
	Total int `json:"total"`
}

// Explanation is the response to GET /v1/settings/explain.
type Explanation struct {
	Revision uint64             `json:"revision"`
	Path     string             `json:"path"`
	Settings []settings.Setting `json:"settings"`
}

// RollbackPlan is the response to GET /v1/settings/rollback: the change that
// restores a revision.
type RollbackPlan struct {
	Base uint64        `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// WaitResult is the response to GET /v1/settings/wait.
type WaitResult struct {
	Revision uint64 `json:"revision"`
	// Done is true if all daemons have the revision in force.
	Done bool `json:"done"`
	// Have lists the daemons that have the revision, Missing the others.
	Have    []Propagation `json:"have"`
	Missing []Propagation `json:"missing"`
}

func (a *api) registerQueries(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/settings", a.tree)
	mux.HandleFunc("GET /v1/settings/explain", a.explain)
	mux.HandleFunc("GET /v1/settings/history", a.history)
	mux.HandleFunc("GET /v1/settings/diff", a.diff)
	mux.HandleFunc("GET /v1/settings/rollback", a.rollback)
	mux.HandleFunc("GET /v1/settings/wait", a.wait)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /v1/upstreams", listHandler(a, "upstreams", a.Sources.Upstreams))
	mux.HandleFunc("GET /v1/groups", listHandler(a, "groups", a.Sources.Groups))
	mux.HandleFunc("GET /v1/queues", listHandler(a, "queues", a.Sources.Queues))
	mux.HandleFunc("GET /v1/limits", listHandler(a, "limits", a.Sources.Limits))
	mux.HandleFunc("GET /v1/quarantines", listHandler(a, "quarantines", a.Sources.Quarantines))
	mux.HandleFunc("GET /v1/peers", listHandler(a, "peers", a.Sources.Peers))
	mux.HandleFunc("GET /v1/traces", listHandler(a, "traces", a.Sources.Traces))
	mux.HandleFunc("GET /v1/voters", listHandler(a, "voters", a.Sources.Voters))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		a.writeError(w, a.newError(fault.NotFound, "operator.route", r.Method+" "+r.URL.Path+" does not exist"))
	})
}

// uintParam returns a numeric query parameter, or fallback if it is absent. If
// the parameter is not a number, it writes the error response and returns
// false.
func (a *api) uintParam(w http.ResponseWriter, r *http.Request, name string, fallback uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		a.writeError(w, a.newError(fault.BadRequest, "operator.query", fmt.Sprintf("parameter %q is %q, accepted: a whole number", name, text)))
		return 0, false
	}
	return n, true
}

func (a *api) tree(w http.ResponseWriter, r *http.Request) {
	t, ok := a.requestedTree(w, r)
	if ok {
		writeJSON(w, http.StatusOK, t)
	}
}

// requestedTree returns the tree of the parameter "revision", or the newest one
// if the parameter is absent. On an error it writes the response and returns
// false.
func (a *api) requestedTree(w http.ResponseWriter, r *http.Request) (*settings.Tree, bool) {
	revision, ok := a.uintParam(w, r, "revision", 0)
	if !ok {
		return nil, false
	}
	read := a.Reader.Tree
	if r.URL.Query().Has("revision") {
		read = func(ctx context.Context) (*settings.Tree, error) { return a.Reader.TreeAt(ctx, revision) }
	}
	t, err := read(r.Context())
	if err != nil {
		a.writeReadError(w, "settings.read", err)
		return nil, false
	}
	return t, true
}

func (a *api) explain(w http.ResponseWriter, r *http.Request) {
	t, ok := a.requestedTree(w, r)
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
		a.writeReadError(w, "settings.explain", err)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	after, ok := a.uintParam(w, r, "after", 0)
	if !ok {
		return
	}
	limit, ok := a.uintParam(w, r, "limit", defaultRows)
	if !ok {
		return
	}
	records, err := a.Reader.History(r.Context(), after)
	if err != nil {
		a.writeReadError(w, "settings.history", err)
		return
	}
	out := ListResponse[settings.Record]{Daemon: a.Daemon, Total: len(records), Rows: nonNil(records)}
	if uint64(len(records)) > limit {
		// Keep the newest records.
		out.Rows = records[uint64(len(records))-limit:]
	}
	writeJSON(w, http.StatusOK, out)
}

func (a *api) diff(w http.ResponseWriter, r *http.Request) {
	from, ok := a.uintParam(w, r, "from", 0)
	if !ok {
		return
	}
	newest, err := a.Reader.Tree(r.Context())
	if err != nil {
		a.writeReadError(w, "settings.diff", err)
		return
	}
	to, ok := a.uintParam(w, r, "to", newest.Revision())
	if !ok {
		return
	}
	rows, err := a.Reader.Diff(r.Context(), from, to)
	if err != nil {
		a.writeReadError(w, "settings.diff", err)
		return
	}
	writeJSON(w, http.StatusOK, ListResponse[settings.Difference]{Daemon: a.Daemon, Rows: nonNil(rows), Total: len(rows)})
}

func (a *api) rollback(w http.ResponseWriter, r *http.Request) {
	revision, ok := a.uintParam(w, r, "revision", 0)
	if !ok {
		return
	}
	ops, base, err := a.Reader.Rollback(r.Context(), revision)
	if err != nil {
		a.writeReadError(w, "settings.rollback", err)
		return
	}
	writeJSON(w, http.StatusOK, RollbackPlan{Base: base, Ops: ops})
}

func (a *api) status(w http.ResponseWriter, r *http.Request) {
	if a.Sources.Status == nil {
		a.writeError(w, a.newError(fault.NotFound, "status", "this daemon has no status"))
		return
	}
	s, err := a.Sources.Status(r.Context())
	if err != nil {
		a.writeReadError(w, "status", err)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// listHandler serves the rows of source that match the filters of the request.
func listHandler[T row](a *api, name string, source func(context.Context) ([]T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if source == nil {
			a.writeError(w, a.newError(fault.NotFound, name, "this daemon has no "+name))
			return
		}
		limit, ok := a.uintParam(w, r, "limit", 0)
		if !ok {
			return
		}
		rows, err := source(r.Context())
		if err != nil {
			a.writeReadError(w, name, err)
			return
		}
		out := ListResponse[T]{Daemon: a.Daemon, Rows: []T{}}
		for _, row := range rows {
			if !matchesQuery(row, r) {
				continue
			}
			out.Total++
			if limit == 0 || uint64(len(out.Rows)) < limit {
				out.Rows = append(out.Rows, row)
			}
		}
		writeJSON(w, http.StatusOK, out)
	}
}

// nonNil replaces a nil slice by an empty one, which JSON encodes as [] instead of
// null.
func nonNil[T any](rows []T) []T {
	if rows == nil {
		return []T{}
	}
	return rows
}

// matchesQuery reports whether the row matches all filters in the request's
// query.
func matchesQuery(row row, r *http.Request) bool {
	query := r.URL.Query()
	for _, filter := range filters {
		if value := query.Get(filter); value != "" && !row.match(filter, value) {
			return false
		}
	}
	return true
}

// wait responds when all daemons have a revision in force or the timeout has
// passed. The response lists the daemons that have it and those that do not.
func (a *api) wait(w http.ResponseWriter, r *http.Request) {
	const step = "settings.wait"
	if a.Sources.Propagation == nil {
		a.writeError(w, a.newError(fault.NotFound, step, "this daemon does not track the revisions in force"))
		return
	}
	revision, ok := a.uintParam(w, r, "revision", 0)
	if !ok {
		return
	}
	millis, ok := a.uintParam(w, r, "timeoutMs", uint64(defaultWait.Milliseconds()))
	if !ok {
		return
	}
	timeout := time.Duration(min(millis, uint64(maxWait.Milliseconds()))) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	poll := time.NewTicker(a.PollInterval)
	defer poll.Stop()
	for {
		// Use the request's context, so that the timeout of the wait does not
		// cancel the last read.
		rows, err := a.Sources.Propagation(r.Context())
		if err != nil {
			a.writeReadError(w, step, err)
			return
		}
		out := splitByRevision(revision, rows)
		if out.Done || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
}

// splitByRevision splits the daemons into those that have a revision and those
// that do not. An empty list of daemons is never done.
func splitByRevision(revision uint64, rows []Propagation) WaitResult {
	out := WaitResult{Revision: revision, Have: []Propagation{}, Missing: []Propagation{}}
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
