package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	reportTimeout = time.Second
	retryDelay    = 200 * time.Millisecond
	// defaultMaxConcurrent is the number of batch slots of an upstream that
	// announces none.
	defaultMaxConcurrent = 8
	maxErrorBytes        = 1 << 10
)

// Upstream configures what a fake upstream announces and to which entries.
type Upstream struct {
	membership.Announcement
	// Entries are the addresses that the upstream announces itself to.
	Entries []string
	// Reachable, if set, reports whether the upstream can connect to an address.
	// Tests use it to simulate network partitions.
	Reachable func(address string) bool
}

// Faults selects the faults that a running upstream injects.
type Faults struct {
	// CrashOn kills the engine when a message of a prompt contains this text.
	CrashOn string
	// TruncateAfter aborts each stream after this many tokens, and any other
	// response before the end of its body. Zero disables truncation.
	TruncateAfter int
	// CleanTruncate makes a truncated stream end without an error.
	CleanTruncate bool
	// DuplicateEvents sends each stream event again after the next one.
	DuplicateEvents bool
	// WrongEcho returns the id of a different request.
	WrongEcho bool
	// Reset closes the connection of each request before the request starts.
	Reset bool
	// Refuse is the status with which a plain service rejects each request before
	// it starts; zero accepts requests.
	Refuse int
	// Delay is the time by which each request is delayed before it starts.
	Delay time.Duration
	// RequestLimit is the limit that answers name, in requests per second; empty for
	// none.
	RequestLimit string
	// Leaving makes answers say that the upstream is leaving.
	Leaving bool
	// Pause is the Retry-After with which an engine refuses all requests; empty to
	// accept them.
	Pause string
}

// leaseEcho is the Echo field of the last lease from a registrar.
type leaseEcho struct {
	value      string
	receivedAt time.Time
}

// Run is one request that an upstream started.
type Run struct {
	RequestID string
	Attempt   string
	Body      string
	// Group and Epoch are those in the headers of the request.
	Group string
	Epoch uint64
	At    time.Time
}

// Assignment is an accepted order: the group membership in force after it and the
// members it named. Group is empty after a release.
type Assignment struct {
	membership.GroupRef
	Members []string
	At      time.Time
}

// Outage is a period in which an upstream was paused or killed. Until is zero
// while it lasts.
type Outage struct{ From, Until time.Time }

// Server implements what fake engines and plain services share: announcements,
// heartbeats, injected faults and the record of runs.
type Server struct {
	upstream   Upstream
	http       *http.Server
	client     *http.Client
	slots      chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	tokens     atomic.Int64
	running    atomic.Int64
	queued     atomic.Int64
	// dispatched is set when the first complete request has been received.
	dispatched atomic.Bool

	mu     sync.Mutex
	faults Faults
	// resumed is closed by Resume; it is nil unless the server is paused.
	resumed chan struct{}
	inForce membership.GroupRef
	// highestEpoch is the newest epoch of all accepted orders.
	highestEpoch uint64
	state        membership.State
	sequence     uint64
	echoes       map[string]leaseEcho
	runs         []Run
	assignments  []Assignment
	outages      []Outage
	// done is closed by Kill.
	done   chan struct{}
	killed bool
}

func startServer(u Upstream, mux *http.ServeMux) (*Server, error) {
	if u.MaxConcurrent <= 0 {
		u.MaxConcurrent = defaultMaxConcurrent
	}
	if u.State == "" {
		u.State = membership.Ready
	}
	if u.Incarnation == 0 {
		u.Incarnation = uint64(time.Now().UnixNano())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s: %w", u.ID, err)
	}
	u.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		upstream: u, cancel: cancel, state: u.State,
		slots: make(chan struct{}, u.MaxConcurrent), done: make(chan struct{}), echoes: map[string]leaseEcho{},
		client: &http.Client{Timeout: reportTimeout},
	}
	mux.HandleFunc("GET "+upstream.PathState, s.serveState)
	s.http = &http.Server{Handler: s.holdWhilePaused(mux)}
	s.goroutines.Add(2)
	go func() { defer s.goroutines.Done(); _ = s.http.Serve(listener) }()
	go func() { defer s.goroutines.Done(); s.runReports(ctx) }()
	return s, nil
}

// holdWhilePaused delays requests while the server is paused. It aborts those that
// are cancelled, or whose server is killed, in that time.
func (s *Server) holdWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.awaitResume(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// awaitResume waits while the server is paused. It returns false if the context was
// cancelled or the server killed in that time.
func (s *Server) awaitResume(ctx context.Context) bool {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-s.done:
	case <-ctx.Done():
	}
	return false
}

// Announcement returns an announcement with the next sequence number.
func (s *Server) Announcement() membership.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	a := s.upstream.Announcement
	a.State, a.Sequence = s.state, s.sequence
	return a
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetState changes the state that the upstream reports.
func (s *Server) SetState(state membership.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// InForce returns the group membership that the last accepted order set.
func (s *Server) InForce() membership.GroupRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Runs returns the requests that the upstream started.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Assignments returns the accepted orders in the order of acceptance.
func (s *Server) Assignments() []Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Assignment(nil), s.assignments...)
}

// Outages returns the periods in which the upstream was paused or killed.
func (s *Server) Outages() []Outage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Outage(nil), s.outages...)
}

// Tokens returns the number of stream tokens sent.
func (s *Server) Tokens() int64 { return s.tokens.Load() }

// Dispatched reports whether the upstream has received a complete request, even if
// it has not started it.
func (s *Server) Dispatched() bool { return s.dispatched.Load() }

// Running returns the number of requests that occupy a batch slot.
func (s *Server) Running() int { return int(s.running.Load()) }

// Pause suspends all responses and heartbeats until Resume is called.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
		s.outages = append(s.outages, Outage{From: time.Now()})
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		s.outages[len(s.outages)-1].Until = time.Now()
		close(s.resumed)
		s.resumed = nil
	}
}

// Kill stops the upstream immediately and closes its connections.
func (s *Server) Kill() {
	s.mu.Lock()
	alreadyKilled := s.killed
	if !alreadyKilled {
		s.killed = true
		close(s.done)
		s.outages = append(s.outages, Outage{From: time.Now()})
	}
	s.mu.Unlock()
	if !alreadyKilled {
		s.cancel()
		_ = s.http.Close()
	}
}

// Close kills the upstream and waits until its goroutines have ended.
func (s *Server) Close() {
	s.Kill()
	s.goroutines.Wait()
}

// startRequest applies the faults that act before a request starts, waits for a
// batch slot and records the run. It returns false if the request was cancelled or
// the server killed in that time.
func (s *Server) startRequest(r *http.Request, body string) bool {
	s.dispatched.Store(true)
	faults := s.Faults()
	if faults.Reset {
		panic(http.ErrAbortHandler)
	}
	if !s.sleepRequest(r, faults.Delay) {
		return false
	}
	s.queued.Add(1)
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	case <-s.done:
		return false
	}
	s.running.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch, _ := strconv.ParseUint(r.Header.Get(upstream.HeaderEpoch), 10, 64)
	s.runs = append(s.runs, Run{
		RequestID: r.Header.Get(upstream.HeaderRequestID), Attempt: r.Header.Get(upstream.HeaderAttempt), Body: body,
		Group: r.Header.Get(upstream.HeaderGroup), Epoch: epoch, At: time.Now(),
	})
	return true
}

func (s *Server) finishRequest() {
	s.running.Add(-1)
	<-s.slots
}

// sleepRequest sleeps for a duration and reports whether to continue with the
// request. It returns false if the request was cancelled or the server killed.
func (s *Server) sleepRequest(r *http.Request, d time.Duration) bool {
	if !s.awaitResume(r.Context()) {
		return false
	}
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.awaitResume(r.Context())
	case <-r.Context().Done():
	case <-s.done:
	}
	return false
}

// acceptOrder puts an order in force. If checkEpoch is set, it returns false for an
// order whose epoch is older than that of an accepted one.
func (s *Server) acceptOrder(order upstream.Order, checkEpoch bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checkEpoch && order.Epoch < s.highestEpoch {
		return false
	}
	s.highestEpoch = max(s.highestEpoch, order.Epoch)
	switch order.Kind {
	case upstream.OrderForm:
		s.inForce = membership.GroupRef{Group: order.Group, Epoch: order.Epoch, Rank: order.Rank}
	case upstream.OrderRelease:
		s.inForce = membership.GroupRef{}
	}
	assignment := Assignment{GroupRef: s.inForce, At: time.Now()}
	for _, m := range order.Members {
		assignment.Members = append(assignment.Members, m.ID)
	}
	s.assignments = append(s.assignments, assignment)
	return true
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(upstream.StateReply{Announcement: s.Announcement(), Heartbeat: s.heartbeat()})
}

func (s *Server) heartbeat() membership.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return membership.Heartbeat{
		ID: s.upstream.ID, Incarnation: s.upstream.Incarnation, Sequence: s.sequence, State: s.state,
		Running: int(s.running.Load()), Queued: int(s.queued.Load()), InForce: s.inForce,
	}
}

// runReports announces the upstream and then sends heartbeats to its registrars. It
// announces again when no registrar answers.
func (s *Server) runReports(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		lease, ok := s.announce(ctx, attempt)
		if !ok {
			sleep(ctx, retryDelay)
			continue
		}
		for s.sendHeartbeats(ctx, &lease) {
		}
	}
}

// announce sends an announcement to one of the entries, the next one on each
// attempt.
func (s *Server) announce(ctx context.Context, attempt int) (membership.Lease, bool) {
	var lease membership.Lease
	entries := s.upstream.Entries
	if len(entries) == 0 {
		return lease, false
	}
	err := s.post(ctx, entries[attempt%len(entries)], upstream.PathAnnouncements, s.Announcement(), &lease)
	return lease, err == nil && len(lease.Registrars) > 0
}

// sendHeartbeats waits for the heartbeat period, sends a heartbeat to each registrar
// and announces the upstream to those that request it. It updates the lease and
// reports whether any registrar accepted.
func (s *Server) sendHeartbeats(ctx context.Context, lease *membership.Lease) bool {
	sleep(ctx, time.Duration(lease.HeartbeatMillis)*time.Millisecond)
	heartbeat := s.heartbeat()
	accepted := false
	next := *lease
	for _, registrar := range lease.Registrars {
		var reply membership.Lease
		s.setEcho(&heartbeat, registrar.ID)
		if s.post(ctx, registrar.Address, upstream.PathHeartbeats, heartbeat, &reply) != nil {
			continue
		}
		if reply.Announce && s.post(ctx, registrar.Address, upstream.PathAnnouncements, s.Announcement(), &reply) != nil {
			continue
		}
		s.storeEcho(registrar.ID, reply.Echo)
		accepted = true
		next = reply
	}
	if len(next.Registrars) > 0 {
		*lease = next
	}
	return accepted && ctx.Err() == nil
}

// setEcho sets the echo of the registrar's last lease in a heartbeat.
func (s *Server) setEcho(heartbeat *membership.Heartbeat, registrar string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.echoes[registrar]
	heartbeat.Echo, heartbeat.EchoAgeMillis = last.value, time.Since(last.receivedAt).Milliseconds()
}

func (s *Server) storeEcho(registrar, echo string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echoes[registrar] = leaseEcho{echo, time.Now()}
}

func (s *Server) post(ctx context.Context, address, path string, in, out any) error {
	if !s.awaitResume(ctx) {
		return context.Canceled
	}
	if s.upstream.Reachable != nil && !s.upstream.Reachable(address) {
		return fmt.Errorf("%s is unreachable: simulated network partition", address)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return fmt.Errorf("%s answered %s: %s", address, resp.Status, text)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Killed reports whether the upstream was killed.
func (s *Server) Killed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
