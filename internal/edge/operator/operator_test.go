package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// fakeProposer applies changes to a state machine without replication.
type fakeProposer struct {
	machine *globalstate.Machine
	index   uint64
	err     error
}

func (p *fakeProposer) ProposeChange(_ context.Context, c settings.Change) (settings.Result, error) {
	if p.err != nil {
		return settings.Result{}, p.err
	}
	command, err := globalstate.EncodeChange(c)
	if err != nil {
		return settings.Result{}, err
	}
	p.index++
	return globalstate.DecodeChangeResult(p.machine.Apply(p.index, command))
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newAPI(change func(*Options)) (http.Handler, *fakeProposer) {
	p := &fakeProposer{machine: globalstate.New()}
	o := Options{
		Daemon:       "a1",
		Operators:    []config.Operator{{Name: "ann", TokenSHA256: digest("write")}, {Name: "bob", TokenSHA256: digest("read"), ReadOnly: true}, {Name: "eve", TokenSHA256: "zz"}},
		Proposer:     p,
		Reader:       MachineReader{p.machine},
		Now:          func() time.Time { return time.Unix(1e9, 0) },
		PollInterval: time.Microsecond,
		Sources: Sources{
			Upstreams: func(context.Context) ([]Upstream, error) {
				return []Upstream{{ID: "u1", Services: []string{"s", "t"}}, {ID: "u2", Services: []string{"t"}}}, nil
			},
			Groups: func(context.Context) ([]Group, error) {
				return nil, fault.New(fault.Unavailable, fault.Location{Step: "domain.read", Peer: "c9"}, fault.NotRun, "no leader")
			},
			Peers: func(context.Context) ([]Peer, error) { return nil, errors.New("broken") },
		},
		Orders: Orders{Drain: func(context.Context, DrainRequest) error { return nil }},
	}
	if change != nil {
		change(&o)
	}
	return New(o), p
}

func call(h http.Handler, token, method, target, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const goodChange = `{"id":"c1","base":0,"ops":[{"op":"set","path":"/accounts/x","key":"weight","value":2}]}`

// Every error response must have the right status, code, step and peer. A rejected
// request must not change the settings.
func TestFaults(t *testing.T) {
	invalid := strings.Replace(goodChange, `"weight","value":2`, `"weight","value":"2"`, 1)
	cases := []struct {
		name, token, method, target, body string
		status                            int
		code                              fault.Code
		step, peer                        string
	}{
		{"no token", "", "GET", "/v1/settings", "", 401, fault.Unauthorized, "operator.authenticate", "a1"},
		{"wrong token", "writ", "GET", "/v1/settings", "", 401, fault.Unauthorized, "operator.authenticate", "a1"},
		{"undecodable digest", "zz", "GET", "/v1/settings", "", 401, fault.Unauthorized, "operator.authenticate", "a1"},
		{"read-only change", "read", "POST", "/v1/settings/changes", goodChange, 403, fault.Forbidden, "operator.authenticate", "a1"},
		{"read-only drain", "read", "POST", "/v1/drain", `{"daemon":"a1"}`, 403, fault.Forbidden, "operator.authenticate", "a1"},
		{"not JSON", "write", "POST", "/v1/settings/changes", "{", 400, fault.BadRequest, "settings.change", "a1"},
		{"unknown field", "write", "POST", "/v1/settings/changes", `{"id":"x","force":true}`, 400, fault.BadRequest, "settings.change", "a1"},
		{"two objects", "write", "POST", "/v1/settings/changes", goodChange + "{}", 400, fault.BadRequest, "settings.change", "a1"},
		{"too large", "write", "POST", "/v1/settings/changes", `{"id":"` + strings.Repeat("x", maxBodyBytes), 413, fault.BodyTooLarge, "settings.change", "a1"},
		{"invalid", "write", "PUT", "/v1/settings/changes", invalid, 422, fault.Invalid, "settings.change", "a1"},
		{"base ahead", "write", "POST", "/v1/settings/changes", strings.Replace(goodChange, `"base":0`, `"base":7`, 1), 422, fault.Invalid, "settings.change", "a1"},
		{"no such path", "read", "GET", "/v1/settings/explain?path=/services/x", "", 404, fault.NotFound, "settings.explain", "a1"},
		{"unknown key", "read", "GET", "/v1/settings/explain?path=/&key=x", "", 422, fault.Invalid, "settings.explain", "a1"},
		{"no such revision", "read", "GET", "/v1/settings/rollback?revision=3", "", 422, fault.Invalid, "settings.rollback", "a1"},
		{"not a number", "read", "GET", "/v1/settings/history?after=-1", "", 400, fault.BadRequest, "operator.query", "a1"},
		{"unsupported query", "read", "GET", "/v1/queues", "", 404, fault.NotFound, "queues", "a1"},
		{"source that fails on a peer", "read", "GET", "/v1/groups", "", 503, fault.Unavailable, "domain.read", "c9"},
		{"source that fails", "read", "GET", "/v1/peers", "", 500, fault.Internal, "peers", "a1"},
		{"unsupported order", "write", "POST", "/v1/voters", `{"action":"add","log":"global","id":"a1"}`, 404, fault.NotFound, "voters", "a1"},
		{"invalid order", "write", "POST", "/v1/voters", `{"action":"join","log":"global","id":"a1"}`, 400, fault.BadRequest, "voters", "a1"},
		{"drain without a target", "write", "POST", "/v1/drain", `{}`, 400, fault.BadRequest, "drain", "a1"},
		{"unknown route", "read", "GET", "/v1/none", "", 404, fault.NotFound, "operator.route", "a1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, p := newAPI(nil)
			w := call(h, c.token, c.method, c.target, c.body)
			require.Equal(t, c.status, w.Code, w.Body.String())
			var body ErrorBody
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			require.Equal(t, [3]string{string(c.code), c.step, c.peer}, [3]string{string(body.Error.Code), body.Error.Step, body.Error.Peer})
			require.NotEmpty(t, body.Error.Message)
			require.Zero(t, p.machine.Tree().Revision())
		})
	}
}

// A resend must get the same response as the first time, and a conflict must name
// the conflicting changes. An error of the proposer must keep its outcome, step
// and peer.
func TestChangeAnswers(t *testing.T) {
	h, p := newAPI(nil)
	other := strings.Replace(goodChange, "c1", "c2", 1)
	first := call(h, "write", "POST", "/v1/settings/changes", goodChange)
	require.Equal(t, 200, first.Code)
	refused := call(h, "write", "POST", "/v1/settings/changes", other)
	require.Equal(t, 409, refused.Code)
	var body ErrorBody
	require.NoError(t, json.Unmarshal(refused.Body.Bytes(), &body))
	require.Equal(t, []settings.Conflict{{Revision: 1, ID: "c1", Author: "ann", At: time.Unix(1e9, 0).UTC(), Path: "/accounts/x", Key: "weight", Overlaps: true}}, body.Result.Conflicts)
	for want, sent := range map[*httptest.ResponseRecorder]string{first: goodChange, refused: other} {
		again := call(h, "write", "PUT", "/v1/settings/changes", sent)
		require.Equal(t, want.Code, again.Code)
		require.Equal(t, want.Body.String(), again.Body.String())
		require.Equal(t, "true", again.Header().Get(HeaderResent))
	}
	require.Equal(t, uint64(1), p.machine.Tree().Revision())
	p.err = fault.New(fault.Unavailable, fault.Location{Step: "global.propose", Peer: "c1"}, fault.Unknown, "lost")
	lost := call(h, "write", "POST", "/v1/settings/changes", other)
	require.Equal(t, 503, lost.Code)
	require.Contains(t, lost.Body.String(), `"outcome":"unknown","step":"global.propose","peer":"c1"`)
}

// Queries must return exactly the matching rows.
func TestQueries(t *testing.T) {
	h, _ := newAPI(nil)
	call(h, "write", "POST", "/v1/settings/changes", goodChange)
	for target, want := range map[string]string{
		"/v1/settings":            `{"revision":1,"nodes":{"/":{},"/accounts/x":{"weight":2}}}`,
		"/v1/settings?revision=0": `{"revision":0,"nodes":{"/":{}}}`,
		"/v1/settings/explain?path=/accounts/x&key=weight":  `{"revision":1,"path":"/accounts/x","settings":[{"key":"weight","value":2,"origin":{"path":"/accounts/x"}}]}`,
		"/v1/settings/diff?from=0":                          `{"daemon":"a1","rows":[{"path":"/accounts/x","added":true},{"path":"/accounts/x","key":"weight","after":2}],"total":2}`,
		"/v1/settings/rollback?revision=0":                  `{"base":1,"ops":[{"op":"delete","path":"/accounts/x"}]}`,
		"/v1/settings/history?after=1":                      `{"daemon":"a1","rows":[],"total":0}`,
		"/v1/upstreams?service=s&limit=5":                   `{"daemon":"a1","rows":[{"id":"u1","kind":"","services":["s","t"],"failureDomain":"","address":"","state":"","incarnation":0,"ageMs":0,"running":0,"queued":0,"kvUse":0,"tokensPerSecond":0,"admitted":0}],"total":1}`,
		"/v1/upstreams?service=s&id=u2":                     `{"daemon":"a1","rows":[],"total":0}`,
		"/v1/settings/explain?path=/accounts/x&revision=99": `{"error":{"code":"invalid","message":"revision 99 is not kept, accepted: a revision from 0 to 1","outcome":"not-run","step":"settings.read","peer":"a1"},"problems":[{"code":"change","message":"revision 99 is not kept","accepted":"a revision from 0 to 1"}]}`,
	} {
		w := call(h, "read", "GET", target, "")
		require.JSONEq(t, want, w.Body.String(), target)
	}
	require.Equal(t, 202, call(h, "write", "POST", "/v1/drain", `{"daemon":"a1"}`).Code)
}

// A wait must not be done before all daemons have the revision. At its timeout it
// must list those that are missing.
func TestWait(t *testing.T) {
	reads := 0
	rows := func() []Propagation {
		reads++
		return []Propagation{{Daemon: "a1", Revision: 4}, {Daemon: "a2", Revision: min(uint64(reads), 4)}}
	}
	h, _ := newAPI(func(o *Options) {
		o.Sources.Propagation = func(context.Context) ([]Propagation, error) { return rows(), nil }
	})
	var out WaitResult
	require.NoError(t, json.Unmarshal(call(h, "read", "GET", "/v1/settings/wait?revision=4&timeoutMs=60000", "").Body.Bytes(), &out))
	require.True(t, out.Done)
	require.Equal(t, 4, reads)
	require.NoError(t, json.Unmarshal(call(h, "read", "GET", "/v1/settings/wait?revision=5&timeoutMs=1", "").Body.Bytes(), &out))
	require.False(t, out.Done)
	require.Len(t, out.Missing, 2)
	rows = func() []Propagation { return nil }
	require.NoError(t, json.Unmarshal(call(h, "read", "GET", "/v1/settings/wait?revision=1&timeoutMs=0", "").Body.Bytes(), &out))
	require.False(t, out.Done, "an empty list of daemons must not be done")
}
