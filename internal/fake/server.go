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
)

// Upstream describes a fake upstream to the system.
type Upstream struct {
	membership.Announcement
	// Entries are the addresses that the upstream announces itself to.
	Entries []string
	// Reachable, when set, tells whether an address can be reached, so that a
	// test can cut the upstream off.
	Reachable func(address string) bool
}

// Faults are switched on at a running upstream.
type Faults struct {
	// CrashOn kills the upstream when a prompt contains it.
	CrashOn string
	// TruncateAfter breaks each answer after this many tokens.
	TruncateAfter int
	// CleanTruncate ends a truncated stream without an error.
	CleanTruncate bool
	// DuplicateEvents sends each stream event twice, the second time late.
	DuplicateEvents bool
	// WrongEcho answers with another request's id.
	WrongEcho bool
	// Reset breaks the connection of each request before answering.
	Reset bool
	// Refuse answers each request with this status before starting it.
	Refuse int
	// Delay holds each request before it starts.
	Delay time.Duration
}

// echo is the mark of a registrar's last lease and when it came.
type echo struct {
	mark string
	at   time.Time
}

// Run is one request that an upstream started.
type Run struct {
	RequestID string
	Attempt   string
	Body      string
	// Group and Epoch are those that the entry dispatched to.
	Group string
	Epoch uint64
	At    time.Time
}

// Assignment is an order that an upstream obeyed. Group is empty after a
// release.
type Assignment struct {
	membership.GroupRef
	Members []string
	At      time.Time
}

// Absence is a time in which an upstream answered and reported nothing. Until
// is zero while it lasts.
type Absence struct{ From, Until time.Time }

// Server is what a fake engine and a fake plain service have in common: the
// announcements, the load report, the switches and the record of runs.
type Server struct {
	upstream Upstream
	http     *http.Server
	client   *http.Client
	slots    chan struct{}
	cancel   context.CancelFunc
	done     sync.WaitGroup
	tokens   atomic.Int64
	running  atomic.Int64
	queued   atomic.Int64
	// dispatched is set by the first request that was received whole.
	dispatched atomic.Bool

	mu       sync.Mutex
	faults   Faults
	paused   chan struct{}
	inForce  membership.GroupRef
	highest  uint64
	state    membership.State
	sequence uint64
	echoes   map[string]echo
	runs     []Run
	assigned []Assignment
	absences []Absence
	dead     chan struct{}
	killed   bool
}

func startServer(u Upstream, mux *http.ServeMux) (*Server, error) {
	if u.MaxConcurrent <= 0 {
		u.MaxConcurrent = 8
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
		slots: make(chan struct{}, u.MaxConcurrent), dead: make(chan struct{}), echoes: map[string]echo{},
		client: &http.Client{Timeout: reportTimeout},
	}
	mux.HandleFunc("GET "+upstream.PathState, s.serveState)
	s.http = &http.Server{Handler: s.gate(mux)}
	s.done.Add(2)
	go func() { defer s.done.Done(); _ = s.http.Serve(listener) }()
	go func() { defer s.done.Done(); s.report(ctx) }()
	return s, nil
}

// gate holds requests while the server is paused.
func (s *Server) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.awaitResume(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) awaitResume(ctx context.Context) bool {
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused == nil {
		return true
	}
	select {
	case <-paused:
		return true
	case <-s.dead:
	case <-ctx.Done():
	}
	return false
}

// Announcement returns what the upstream announces.
func (s *Server) Announcement() membership.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	a := s.upstream.Announcement
	a.State, a.Sequence = s.state, s.sequence
	return a
}

// SetFaults replaces the faults that are on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that are on.
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

// InForce returns the group membership that the last obeyed order set.
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

// Assignments returns the orders that the upstream obeyed.
func (s *Server) Assignments() []Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Assignment(nil), s.assigned...)
}

// Absences returns when the upstream was paused or dead.
func (s *Server) Absences() []Absence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Absence(nil), s.absences...)
}

// Tokens returns the number of stream tokens that were sent.
func (s *Server) Tokens() int64 { return s.tokens.Load() }

// Dispatched reports whether a request has reached the upstream, whether or not
// it was started.
func (s *Server) Dispatched() bool { return s.dispatched.Load() }

// Running returns the number of requests in the batch.
func (s *Server) Running() int { return int(s.running.Load()) }

// Pause stops all answers and reports until Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		s.paused = make(chan struct{})
		s.absences = append(s.absences, Absence{From: time.Now()})
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		s.absences[len(s.absences)-1].Until = time.Now()
		close(s.paused)
		s.paused = nil
	}
}

// Kill ends the upstream at once and breaks its connections.
func (s *Server) Kill() {
	s.mu.Lock()
	killed := s.killed
	if !s.killed {
		s.killed = true
		close(s.dead)
		s.absences = append(s.absences, Absence{From: time.Now()})
	}
	s.mu.Unlock()
	if !killed {
		s.cancel()
		_ = s.http.Close()
	}
}

// Close kills the upstream and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	s.done.Wait()
}

// begin applies the faults that act before a request starts, waits for a batch
// slot and records the run. It reports whether the request may go on.
func (s *Server) begin(r *http.Request, body string) bool {
	s.dispatched.Store(true)
	faults := s.Faults()
	if faults.Reset {
		panic(http.ErrAbortHandler)
	}
	if !s.wait(r, faults.Delay) {
		return false
	}
	s.queued.Add(1)
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	case <-s.dead:
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

func (s *Server) end() {
	s.running.Add(-1)
	<-s.slots
}

// wait sleeps for a time and reports whether the request still lives.
func (s *Server) wait(r *http.Request, d time.Duration) bool {
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
	case <-s.dead:
	}
	return false
}

// obey puts an order in force and reports whether it was accepted.
func (s *Server) obey(order upstream.Order, fenced bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fenced && order.Epoch < s.highest {
		return false
	}
	s.highest = max(s.highest, order.Epoch)
	switch order.Kind {
	case upstream.OrderForm:
		s.inForce = membership.GroupRef{Group: order.Group, Epoch: order.Epoch, Rank: order.Rank}
	case upstream.OrderRelease:
		s.inForce = membership.GroupRef{}
	}
	taken := Assignment{GroupRef: s.inForce, At: time.Now()}
	for _, m := range order.Members {
		taken.Members = append(taken.Members, m.ID)
	}
	s.assigned = append(s.assigned, taken)
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

// report announces the upstream and then sends heartbeats to its registrars.
// It announces again when no registrar answers or one asks for it.
func (s *Server) report(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		lease, ok := s.announce(ctx, turn)
		if !ok {
			sleep(ctx, retryDelay)
			continue
		}
		for s.beat(ctx, &lease) {
		}
	}
}

func (s *Server) announce(ctx context.Context, turn int) (membership.Lease, bool) {
	var lease membership.Lease
	entries := s.upstream.Entries
	if len(entries) == 0 {
		return lease, false
	}
	err := s.post(ctx, entries[turn%len(entries)], upstream.PathAnnouncements, s.Announcement(), &lease)
	return lease, err == nil && len(lease.Registrars) > 0
}

// beat sends one heartbeat to each registrar after the heartbeat period and
// reports whether the lease goes on.
func (s *Server) beat(ctx context.Context, lease *membership.Lease) bool {
	sleep(ctx, time.Duration(lease.HeartbeatMillis)*time.Millisecond)
	beat := s.heartbeat()
	alive := false
	next := *lease
	for _, registrar := range lease.Registrars {
		var reply membership.Lease
		s.addEcho(&beat, registrar.ID)
		if s.post(ctx, registrar.Address, upstream.PathHeartbeats, beat, &reply) != nil {
			continue
		}
		if reply.Announce && s.post(ctx, registrar.Address, upstream.PathAnnouncements, s.Announcement(), &reply) != nil {
			continue
		}
		s.keepEcho(registrar.ID, reply.Echo)
		alive = true
		next = reply
	}
	if len(next.Registrars) > 0 {
		*lease = next
	}
	return alive && ctx.Err() == nil
}

// addEcho returns the mark of the registrar's last lease with the heartbeat.
func (s *Server) addEcho(beat *membership.Heartbeat, registrar string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.echoes[registrar]
	beat.Echo, beat.EchoAgeMillis = last.mark, time.Since(last.at).Milliseconds()
}

func (s *Server) keepEcho(registrar, mark string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echoes[registrar] = echo{mark, time.Now()}
}

func (s *Server) post(ctx context.Context, address, path string, in, out any) error {
	if !s.awaitResume(ctx) {
		return context.Canceled
	}
	if s.upstream.Reachable != nil && !s.upstream.Reachable(address) {
		return fmt.Errorf("%s is not reachable", address)
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
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
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

// Dead reports whether the upstream was killed.
func (s *Server) Dead() bool {
	select {
	case <-s.dead:
		return true
	default:
		return false
	}
}
