package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Model is a model of an engine service.
type Model struct {
	Name       string
	Size       int
	Load, Warm time.Duration
}

// Fleet holds all workers of a run.
type Fleet struct {
	lab      *Lab
	controls []string
	models   []Model

	mu      sync.Mutex
	workers map[string]*Worker // the latest process by id
}

// NewFleet returns an empty fleet whose workers report to the control processes.
func NewFleet(l *Lab, controls []string, models []Model) *Fleet {
	return &Fleet{lab: l, controls: controls, models: models, workers: map[string]*Worker{}}
}

// Worker is one process of a worker.
type Worker struct {
	fleet             *Fleet
	ID, Service, Zone string
	Domain            string
	Host              string
	Engine            bool
	born              int64
	server            *http.Server
	stop              chan struct{}
	wake              chan struct{}

	mu       sync.Mutex
	ended    bool
	quiet    bool
	leaving  bool
	cuts     int
	seq      uint64
	orders   uint64
	maxEpoch uint64
	group    string
	epoch    uint64
	rank     int
	state    string
	members  []string
	model    string
	staged   []string
	runs     int
	active   int
	onRun    func(id string, sent time.Time)
}

// StartWorker starts a worker on a host: an engine of a fabric domain, or a plain worker
// without a domain. An earlier process with the same id must have ended.
func (f *Fleet) StartWorker(id, service, zone, host, domain string, staged []string) (*Worker, error) {
	w := &Worker{fleet: f, ID: id, Service: service, Zone: zone, Domain: domain, Host: host, Engine: domain != "",
		born: time.Now().UnixMilli(), stop: make(chan struct{}), wake: make(chan struct{}, 1), staged: staged}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, workerPort))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", w.health)
	mux.HandleFunc("GET /v1/report", w.report)
	mux.HandleFunc("POST /v1/order", w.order)
	mux.HandleFunc("/", w.request)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	f.lab.Log("worker %s of %s runs at %s, born %d", id, service, host, w.born)
	go w.beat()
	if w.Engine {
		go w.watchMembers()
	}
	return w, nil
}

// Crash ends the process of a worker without a word.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	close(w.stop)
	_ = w.server.Close()
	w.fleet.lab.Log("worker %s at %s crashed", w.ID, w.Host)
}

// Quiet ends the heartbeats of a worker.
func (w *Worker) Quiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = true
}

// Cut partitions a worker from the control processes for a time: its heartbeats get
// lost, and calls to it get no answer and have no effect. Partitions may overlap.
func (w *Worker) Cut(d time.Duration) {
	w.fleet.lab.Log("worker %s is partitioned from the core for %v", w.ID, d)
	w.mu.Lock()
	w.cuts++
	w.mu.Unlock()
	time.AfterFunc(d, func() {
		w.mu.Lock()
		w.cuts--
		left := w.cuts
		w.mu.Unlock()
		w.fleet.lab.Log("worker %s: end of a partition, %d left", w.ID, left)
		w.changed()
	})
}

// lost reports whether a call of a control process gets lost. It then returns when
// the caller has given up.
func (w *Worker) lost(r *http.Request) bool {
	w.mu.Lock()
	cut := w.cuts > 0
	w.mu.Unlock()
	if cut {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	return cut
}

// Deregister says that the worker leaves. It serves on. It returns the time of the
// acknowledgement.
func (w *Worker) Deregister() (time.Time, error) {
	w.mu.Lock()
	w.quiet, w.leaving = true, true
	body := map[string]any{"born": w.born}
	w.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return time.Time{}, err
	}
	for i := range 20 {
		control := w.fleet.controls[i%len(w.fleet.controls)]
		if status := Post(control, "/v1/Instances.Deregister/"+w.ID, data, time.Second); status == http.StatusOK {
			now := time.Now()
			w.fleet.lab.Log("departure of worker %s acknowledged by %s", w.ID, control)
			return now, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the departure of %s was not acknowledged", w.ID)
}

// Address returns the address at which a worker serves.
func (w *Worker) Address() string { return fmt.Sprintf("%s:%d", w.Host, workerPort) }

// Heartbeat returns the next heartbeat.
func (w *Worker) Heartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	body := map[string]any{"service": w.Service, "address": w.Address(), "zone": w.Zone, "version": "v1", "slots": 26, "state": "ready",
		"cold_remaining_ms": 0, "seq": w.seq, "born": w.born}
	if w.Engine {
		w.describe(body)
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// describe adds the state of an engine. The caller holds mu.
func (w *Worker) describe(body map[string]any) {
	body["stage"], body["domain"], body["staged"] = "both", w.Domain, w.staged
	models := []any{}
	if w.model != "" {
		models = append(models, map[string]any{"name": w.model, "version": 1, "adapters": []string{}})
	}
	body["models"] = models
	if w.group != "" {
		body["group"] = map[string]any{"name": w.group, "epoch": w.epoch, "rank": w.rank, "state": w.state}
	}
}

// beat sends heartbeats in each interval and after a change.
func (w *Worker) beat() {
	for turn := 0; ; {
		w.mu.Lock()
		quiet := w.quiet || w.cuts > 0
		w.mu.Unlock()
		if !quiet {
			body := w.Heartbeat()
			for range w.fleet.controls {
				if Post(w.fleet.controls[turn%len(w.fleet.controls)], "/v1/Instances.Heartbeat/"+w.ID, body, time.Second) == http.StatusOK {
					break
				}
				turn++
			}
		}
		select {
		case <-w.stop:
			return
		case <-w.wake:
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (w *Worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// misdirected answers a call that is for another worker.
func (w *Worker) misdirected(rw http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Bluebellfield-Expect-Instance")
	if expected == "" || expected == w.ID {
		return false
	}
	rw.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
	rw.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (w *Worker) health(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	rw.Header().Set("Bluebellfield-Instance-Id", w.ID)
	if leaving {
		rw.Header().Set("Server-Leaving", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (w *Worker) report(rw http.ResponseWriter, r *http.Request) {
	if w.lost(r) || w.misdirected(rw, r) {
		return
	}
	w.mu.Lock()
	body := map[string]any{"service": w.Service, "address": w.Address(), "zone": w.Zone, "version": "v1", "slots": 26, "born": w.born, "busy": w.state == "joining",
		"seq": w.orders, "queue_depth": 0, "active_requests": 0, "kv_used": 0, "kv_total": 2470000, "handles": 0, "pace": 1}
	w.describe(body)
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Mode    string   `json:"mode"`
}

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	if w.lost(r) || w.misdirected(rw, r) {
		return
	}
	var o order
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status := w.carryOut(&o)
	w.fleet.lab.Log("worker %s: order %s of group %s (epoch %d): %d", w.ID, o.Op, o.Group, o.Epoch, status)
	rw.WriteHeader(status)
}

// carryOut executes an order and returns the status of the answer.
func (w *Worker) carryOut(o *order) int {
	if o.Op == "join" {
		w.fleet.checkJoin(w, o)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.changed()
	mine := w.group == o.Group && w.epoch == o.Epoch
	switch o.Op {
	case "join":
		return w.join(o)
	case "stage":
		if slices.Contains(w.staged, o.Model) {
			return http.StatusOK
		}
		w.orders++
		go w.later(w.fleet.model(o.Model).Load, func() { w.staged = []string{o.Model} })
		return http.StatusAccepted
	case "open":
		switch {
		case !mine || w.rank != 0 || w.state != "ready" && w.state != "open":
			return http.StatusConflict
		case w.state == "open":
			return http.StatusOK
		}
		w.orders++
		group := w.group
		go w.later(300*time.Millisecond, func() {
			if w.group == group && w.state == "ready" {
				w.state = "open"
			}
		})
		return http.StatusAccepted
	case "close":
		if !mine || w.rank != 0 {
			return http.StatusConflict
		}
		switch {
		case w.state == "ready":
			return http.StatusOK
		case w.state != "open" && w.state != "closing":
			return http.StatusConflict
		}
		w.orders++
		w.state = "closing"
		if o.Mode == "truncate" || w.active == 0 {
			w.state = "ready"
		}
		return http.StatusAccepted
	case "leave":
		if !mine {
			return http.StatusConflict
		}
		w.orders++
		w.group, w.epoch, w.rank, w.state, w.members = "", 0, 0, "", nil
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

// join makes the worker a member of a group. The caller holds mu.
func (w *Worker) join(o *order) int {
	if o.Epoch < w.maxEpoch || o.Epoch == w.maxEpoch && o.Group == w.group && !slices.Equal(o.Members, w.members) {
		return http.StatusPreconditionFailed
	}
	if o.Group == w.group && o.Epoch == w.epoch {
		return http.StatusOK
	}
	w.orders++
	model := w.fleet.model(o.Model)
	took := model.Load
	switch {
	case w.model == o.Model:
		took = 200 * time.Millisecond
	case slices.Contains(w.staged, o.Model):
		took = model.Warm
	}
	w.maxEpoch = o.Epoch
	w.group, w.epoch, w.rank, w.state, w.members, w.model = o.Group, o.Epoch, slices.Index(o.Members, w.ID), "joining", o.Members, ""
	go w.later(took, func() {
		if w.group == o.Group && w.epoch == o.Epoch && w.state == "joining" {
			w.state, w.model, w.staged = "ready", o.Model, []string{o.Model}
		}
	})
	return http.StatusAccepted
}

// later changes the state after a time, unless the process has ended.
func (w *Worker) later(d time.Duration, change func()) {
	time.Sleep(d)
	w.mu.Lock()
	if !w.ended {
		change()
	}
	w.mu.Unlock()
	w.changed()
}

func (f *Fleet) model(name string) Model {
	for _, m := range f.models {
		if m.Name == name {
			return m
		}
	}
	return Model{Name: name}
}

// checkJoin checks the rule TWO: no worker takes a join of another group while the
// head of its group is open or closing.
func (f *Fleet) checkJoin(w *Worker, o *order) {
	w.mu.Lock()
	group, epoch, accepted := w.group, w.epoch, o.Epoch >= w.maxEpoch && o.Group != w.group
	var head string
	if len(w.members) > 0 {
		head = w.members[0]
	}
	w.mu.Unlock()
	if !accepted || group == "" {
		return
	}
	f.mu.Lock()
	h := f.workers[head]
	f.mu.Unlock()
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended && h.group == group && h.epoch == epoch && (h.state == "open" || h.state == "closing") {
		f.lab.Break("worker %s takes a join of group %s while the head %s of its group %s is %s", w.ID, o.Group, head, group, h.state)
	}
}

const (
	// stallTime is the time for which the head of a group that has lost a member
	// stands still before it is broken.
	stallTime  = 6 * time.Second
	watchPause = 50 * time.Millisecond
)

// watchMembers makes an open head stand still, and later broken, once a member has
// ended or is in another group.
func (w *Worker) watchMembers() {
	var since time.Time
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(watchPause):
		}
		if w.whole() {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
			w.fleet.lab.Log("worker %s stands still: its group has lost a member", w.ID)
		}
		if time.Since(since) < stallTime {
			continue
		}
		w.mu.Lock()
		if w.state == "open" || w.state == "closing" {
			w.state = "broken"
			w.fleet.lab.Log("worker %s is broken", w.ID)
		}
		w.mu.Unlock()
		w.changed()
	}
}

// whole reports whether a worker is no open head, or all members of its group are
// still in it.
func (w *Worker) whole() bool {
	w.mu.Lock()
	group, epoch, members := w.group, w.epoch, w.members
	serves := (w.state == "open" || w.state == "closing") && w.rank == 0
	w.mu.Unlock()
	if !serves {
		return true
	}
	for _, id := range members {
		m := w.fleet.Get(id)
		m.mu.Lock()
		in := !m.ended && m.group == group && m.epoch == epoch
		m.mu.Unlock()
		if !in {
			return false
		}
	}
	return true
}

// Get returns the latest process of a worker.
func (f *Fleet) Get(id string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// State returns the group of a worker, its rank and its state.
func (w *Worker) State() (group string, rank int, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group, w.rank, w.state
}

// OnRun sets a function that is called for each request that reaches the worker, with
// the time at which the client sent it.
func (w *Worker) OnRun(f func(id string, sent time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onRun = f
}

// Runs returns the number of requests that the worker has run.
func (w *Worker) Runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs
}

// request serves a client's request.
func (w *Worker) request(rw http.ResponseWriter, r *http.Request) {
	if w.misdirected(rw, r) {
		return
	}
	id := r.Header.Get("Bluebellfield-Attempt-Id")
	h := rw.Header()
	h.Set("Bluebellfield-Attempt-Id", id)
	w.mu.Lock()
	if w.leaving {
		h.Set("Server-Leaving", "1")
	}
	serves := !w.Engine || w.state == "open" && w.rank == 0
	broken := w.Engine && w.state == "broken"
	if serves {
		w.runs++
		w.active++
	}
	onRun := w.onRun
	w.mu.Unlock()
	switch {
	case broken:
		h.Set("Bluebellfield-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case !serves:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer w.finished()
	_, _ = io.Copy(io.Discard, r.Body)
	w.fleet.lab.Log("worker %s runs request %s", w.ID, id)
	if sent, err := strconv.ParseInt(r.Header.Get(sentHeader), 10, 64); err == nil && onRun != nil {
		onRun(id, time.Unix(0, sent))
	}
	h.Set("Bluebellfield-Server-Seal", w.ID)
	if !w.Engine {
		_, _ = io.WriteString(rw, "done\n")
		return
	}
	w.stream(rw, r, id)
}

// finished records the end of a request. A head that closes is ready after the last one.
func (w *Worker) finished() {
	w.mu.Lock()
	w.active--
	if w.state == "closing" && w.active == 0 {
		w.state = "ready"
		defer w.changed()
	}
	w.mu.Unlock()
}

const (
	events     = 4
	eventPause = 50 * time.Millisecond
)

// stream sends the events of an answer, after the last one that the client has. It
// stands still while the group lacks a member, and is cut off if the head no longer
// serves.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i < events; i++ {
		for !w.whole() {
			select {
			case <-r.Context().Done():
				w.fleet.lab.Log("worker %s: request %s cancelled while the group stands still", w.ID, id)
				return
			case <-time.After(watchPause):
			}
		}
		if _, _, state := w.State(); state != "open" && state != "closing" {
			w.fleet.lab.Log("worker %s: request %s cut off", w.ID, id)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}
