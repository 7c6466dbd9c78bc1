package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

// testProtocol is a minimal Protocol for tests.
type testProtocol struct{}

func (testProtocol) ParseRequest(r *http.Request) (Request, error) {
	q := Request{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Model: r.Header.Get("Model"), PromptTokens: 100, AnswerTokens: 60, ResumePosition: -1}
	if position, err := strconv.ParseInt(r.Header.Get("Resume-After"), 10, 64); err == nil {
		q.ResumePosition = position
	}
	if parts := r.Header.Get("Parts"); parts != "" {
		q.PromptParts = strings.Split(parts, ",")
	}
	if q.ID == "" {
		return q, fmt.Errorf("no id")
	}
	if millis, err := strconv.Atoi(r.Header.Get("Patience")); err == nil {
		q.Timeout = time.Duration(millis) * time.Millisecond
	}
	return q, nil
}

func (testProtocol) WriteAttempt(h http.Header, a AttemptHeaders) {
	h.Del("Key")
	h.Set("Account", a.Account)
	h.Set("Expect-Upstream", a.Upstream)
	h.Set("Patience", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set("Deferred", strconv.FormatBool(a.Deferred))
	if a.ResumePosition >= 0 {
		h.Set("Resume", strconv.FormatInt(a.ResumePosition, 10))
	}
}

func (testProtocol) ParseResponse(resp *http.Response) ResponseHeaders {
	parsed := ResponseHeaders{ID: resp.Header.Get("Id"), Signed: resp.Header.Get("Unsigned") == "", NotRun: resp.Header.Get("Not-Run") != ""}
	if rate, named := upstreamlimit.ParseRate(resp.Header.Get("Request-Limit")); named {
		parsed.Limit = &rate
	}
	parsed.Leaving = upstreamlimit.ParseLeaving(resp.Header.Get("Leaving"))
	if resp.StatusCode == http.StatusServiceUnavailable {
		parsed.Pause, _ = upstreamlimit.ParsePause(time.Now(), resp.Header)
	}
	return parsed
}

func (testProtocol) WriteErrorHeaders(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
}

// fakeUpstream responds according to a script and records its requests.
type fakeUpstream struct {
	server *httptest.Server
	id     string
	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
	runs   atomic.Int32
}

// handlerFunc is the script of an upstream; n is the number of the request,
// starting at 1.
type handlerFunc func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request)

// newUpstream starts an upstream that adds its id to each response as the
// header Served-By.
func newUpstream(t *testing.T, id string, script handlerFunc) *fakeUpstream {
	u := &fakeUpstream{id: id}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.seen, u.bodies = append(u.seen, r), append(u.bodies, string(body))
		n := len(u.seen)
		u.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Served-By", "of-"+id)
		script(u, n, w, r)
	}))
	t.Cleanup(u.server.Close)
	return u
}

func (u *fakeUpstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

func (u *fakeUpstream) record(service, model string) fleet.Upstream {
	r := fleet.Upstream{ID: u.id, Service: service, Address: strings.TrimPrefix(u.server.URL, "http://"), FailureDomain: "z", StartMillis: 1, Sequence: 1, Slots: 6}
	if model != "" {
		r.Model = model
		r.Member = fleet.Membership{Group: "g-" + u.id, Epoch: 1, State: fleet.Open}
	}
	return r
}

// answer responds with the text.
func answer(text string) handlerFunc {
	return func(u *fakeUpstream, _ int, w http.ResponseWriter, _ *http.Request) {
		u.runs.Add(1)
		_, _ = io.WriteString(w, text)
	}
}

// refuse responds that the request was not run.
func refuse(status int) handlerFunc {
	return func(_ *fakeUpstream, _ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
	}
}

// fail runs the request and responds with an error status.
func fail(status int) handlerFunc {
	return func(u *fakeUpstream, _ int, w http.ResponseWriter, _ *http.Request) {
		u.runs.Add(1)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "failed at "+u.id)
	}
}

// resetConnection resets the connection after the request has been read.
func resetConnection(u *fakeUpstream, _ int, w http.ResponseWriter, _ *http.Request) {
	u.runs.Add(1)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// stream sends the events after the requested position, up to last, and then
// calls end.
func stream(last int, end func(w http.ResponseWriter, r *http.Request)) handlerFunc {
	return func(u *fakeUpstream, _ int, w http.ResponseWriter, r *http.Request) {
		u.runs.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		first := 0
		if after, err := strconv.Atoi(r.Header.Get("Resume")); err == nil {
			first = after + 1
		}
		for n := first; n <= last; n++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
		}
		if end != nil {
			end(w, r)
		}
	}
}

// breakOff aborts the response.
func breakOff(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// hang keeps the response open without sending anything.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// events returns the encoded stream up to the given event.
func events(last int) string {
	var b strings.Builder
	for n := 0; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// testObjective is the latency objective of resumable streams. It is below the time
// after which a stream without events is suspected.
const testObjective = 300 * time.Millisecond

// testCatalog returns a catalog with a route for each kind of request.
func testCatalog(t *testing.T) *catalog.Catalog {
	route := func(name string, kind catalog.Kind, service string) catalog.Route {
		return catalog.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second, LatencyObjective: time.Second,
			Targets: []catalog.Target{{Service: service, Weight: 1}}, MaxAttempts: 2}
	}
	content := catalog.Content{Version: 1,
		Routes: []catalog.Route{route("read", catalog.Idempotent, "app"), route("order", catalog.NonIdempotent, "app"),
			route("chat", catalog.Stream, "model"), route("once", catalog.Stream, "model"), route("quick", catalog.Idempotent, "app")},
		Services: []catalog.Service{{Name: "app"}, {Name: "model", Engine: &enginemodel.Engine{Slots: 26, Stride: 6, Step: time.Millisecond,
			ReadRate: 50000, MeanPromptTokens: 100, MeanAnswerTokens: 60, Models: []enginemodel.Model{{Name: "m", GroupSize: 2, TimeFactor: 1}}}}},
		Accounts: []catalog.Account{{Name: "account", Keys: []string{"key"}}},
	}
	content.Routes[2].Resumable, content.Routes[2].LatencyObjective = true, testObjective
	content.Routes[4].Timeout = 300 * time.Millisecond
	c, err := catalog.New(content)
	require.NoError(t, err)
	return c
}

// newEntry starts an entry with the given upstreams, and a server for its
// callers.
func newEntry(t *testing.T, upstreams ...fleet.Upstream) (*Entry, *httptest.Server) {
	return newLoggedEntry(t, zap.NewNop(), upstreams...)
}

// newLoggedEntry is newEntry with a logger.
func newLoggedEntry(t *testing.T, logger *zap.Logger, upstreams ...fleet.Upstream) (*Entry, *httptest.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	network := peer.Listen(listener, peer.Options{ID: "127.0.0.1", Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
		Resolve: func(id string) (string, bool) { return id, strings.Contains(id, ":") }})
	t.Cleanup(func() { require.NoError(t, network.Close()) })
	content := testCatalog(t)
	e := Start(Options{ID: "127.0.0.1", FailureDomain: "z", Network: network, Protocol: testProtocol{}, Client: upstream.NewClient(nil),
		Decode: func([]byte) (*catalog.Catalog, error) { return content, nil }, Logger: logger, Registry: metrics.NewRegistry(),
		RetryBudget: RetryBudget{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}})
	t.Cleanup(e.Close)
	require.NoError(t, e.installCatalog("test", 1, nil))
	update := &mesh.Update{Source: 1, Number: 1, Complete: true, Entries: 1}
	for i := range upstreams {
		update.Upstreams = append(update.Upstreams, mesh.EncodeUpstream(&upstreams[i]))
	}
	apply(t, e, update)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server
}

func apply(t *testing.T, e *Entry, update *mesh.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = int(update.Entries)
	e.applyUpstreams(time.Now(), "test", update)
	e.rebuildView()
	require.NotNil(t, e.view.Load())
}

// setUpstreams replaces the upstreams that the entry knows.
func setUpstreams(t *testing.T, e *Entry, upstreams ...fleet.Upstream) {
	update := &mesh.Update{Entries: 1}
	for i := range upstreams {
		update.Upstreams = append(update.Upstreams, mesh.EncodeUpstream(&upstreams[i]))
	}
	e.mu.Lock()
	e.table = fleet.NewTable()
	e.mu.Unlock()
	apply(t, e, update)
}

// result is the response that a caller received.
type result struct {
	status int
	body   string
	header http.Header
	// whole is false if the response was truncated.
	whole bool
	took  time.Duration
}

func sendRequest(t *testing.T, server *httptest.Server, path string, change ...func(*http.Request)) result {
	req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader("the body"))
	require.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "request-1")
	req.Header.Set("Key", "key")
	req.Header.Set("Model", "m")
	for _, c := range change {
		c(req)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return result{took: time.Since(started)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(resp.Body))
	return result{resp.StatusCode, string(body), resp.Header, err == nil, time.Since(started)}
}
