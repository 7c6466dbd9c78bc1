package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	modelName    = "m-notes"
	modelSize    = 3
	fabricDomain = "zone-a-d0"
	engineSlots  = 26
	kvTokens     = 2470000
	// loadTime is a tenth of the load time of the users' sheet, as before the first
	// request. rejoinTime applies to the model of the engine's last group.
	loadTime   = 1200 * time.Millisecond
	warmTime   = 1100 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
)

// engineService returns the configuration of a model service.
func engineService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConnections: 464, Protocol: "h1", Engine: &engineConfig{
		Slots: engineSlots, KVCapacityTokens: kvTokens, Stride: 6, Models: []modelConfig{{Name: modelName, Size: modelSize, Share: 1, Pace: 0.6, LoadS: 12, WarmS: 1.1}},
		StepMS: 6.45, PerSeqMS: 0.0967, ContextPerK: 0.00293, ReadPerS: 56100, PairsPerM: 0.309, Chunk: 2048, ReportLagMS: 200,
		LoadsPerS: 5.5, LoadsAtOnce: 8, Usual: usualConfig{Prompt: 1115, Answer: 152}, Keeps: 1, FarX: 4, FormMS: 300}}
}

type engineConfig struct {
	Slots            int           `json:"slots"`
	KVCapacityTokens int           `json:"kv_capacity_tokens"`
	Stride           int           `json:"stride"`
	Models           []modelConfig `json:"models"`
	StepMS           float64       `json:"step_ms"`
	PerSeqMS         float64       `json:"per_seq_ms"`
	ContextPerK      float64       `json:"context_per_k"`
	ReadPerS         float64       `json:"read_per_s"`
	PairsPerM        float64       `json:"pairs_per_m"`
	Chunk            int           `json:"chunk"`
	ReportLagMS      float64       `json:"report_lag_ms"`
	LoadsPerS        float64       `json:"loads_per_s"`
	LoadsAtOnce      int           `json:"loads_at_once"`
	Usual            usualConfig   `json:"usual"`
	Keeps            int           `json:"keeps"`
	FarX             float64       `json:"far_x"`
	FormMS           float64       `json:"form_ms"`
}

type modelConfig struct {
	Name  string  `json:"name"`
	Size  int     `json:"size"`
	Share float64 `json:"share"`
	Pace  float64 `json:"pace"`
	LoadS float64 `json:"load_s"`
	WarmS float64 `json:"warm_s"`
}

type usualConfig struct {
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
}

// membership is an engine's place in a group.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// engine is a stand-in for a model worker that obeys orders. It runs no requests.
type engine struct {
	d       *deployment
	pool    *enginePool
	service string
	id      string
	address string
	born    int64
	changed chan struct{}

	// The fields below are protected by the pool's mu.
	seq       int
	orders    int
	highest   uint64
	group     *membership
	lastModel string
	staged    []string
}

// enginePool holds all engines, so that an engine can record the state of the head
// of the group that it is taken from.
type enginePool struct {
	mu      sync.Mutex
	engines map[string]*engine
	// stolen counts the joins that an engine took while the head of its group was
	// open or closing.
	stolen int
}

func (d *deployment) startEngines(n int, service string) (*enginePool, error) {
	pool := &enginePool{engines: map[string]*engine{}}
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", d.subnet, 61+i))
		if err != nil {
			return nil, err
		}
		e := &engine{d: d, pool: pool, service: service, id: fmt.Sprintf("i-%d%08x", i, time.Now().UnixNano()&0xffffffff), address: l.Addr().String(),
			born: time.Now().UnixMilli(), changed: make(chan struct{}, 1)}
		pool.engines[e.id] = e
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/order", e.serveOrder)
		mux.HandleFunc("GET /v1/report", e.serveReport)
		go func() { _ = http.Serve(l, mux) }()
		go e.beat(i)
		d.rec.printf("engine %s serves at %s", e.id, e.address)
	}
	return pool, nil
}

// beat sends a heartbeat at each interval and after each change.
func (e *engine) beat(n int) {
	for ; ; n++ {
		e.pool.mu.Lock()
		e.seq++
		body, err := json.Marshal(e.report(e.seq))
		e.pool.mu.Unlock()
		if err == nil {
			controls := e.d.controls()
			for i := range controls {
				status, _, err := e.d.post(controls[(n+i)%len(controls)], "/v1/Instances.Heartbeat/"+e.id, body)
				if err == nil && status/100 == 2 {
					break
				}
			}
		}
		select {
		case <-e.changed:
		case <-time.After(heartbeatInterval):
		}
	}
}

// report returns the engine's report. The caller holds the pool's mu.
func (e *engine) report(seq int) map[string]any {
	models := []map[string]any{}
	if e.lastModel != "" {
		models = append(models, map[string]any{"name": e.lastModel, "version": 1, "adapters": []string{}})
	}
	r := map[string]any{"service": e.service, "address": e.address, "zone": zones[0], "domain": fabricDomain, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": models, "staged": e.staged, "born": e.born, "seq": seq}
	if e.group != nil {
		r["group"] = e.group
	}
	return r
}

// reportChange sends a heartbeat at once.
func (e *engine) reportChange() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Bluebellfield-Expect-Instance")
	if expected == "" || expected == e.id {
		return false
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.pool.mu.Lock()
	report := e.report(e.orders)
	report["busy"] = e.group != nil && e.group.State == "joining"
	report["queue_depth"], report["active_requests"], report["kv_used"], report["kv_total"], report["handles"], report["pace"] = 0, 0, 0, kvTokens, 0, 1.0
	e.pool.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.pool.mu.Lock()
	status := e.obey(o)
	if status == http.StatusAccepted {
		e.orders++
	}
	e.pool.mu.Unlock()
	e.d.rec.printf("engine %s: order %s group %s epoch %d members %v from %s: %d", e.id, o.Op, o.Group, o.Epoch, o.Members, r.RemoteAddr, status)
	w.WriteHeader(status)
}

// obey carries out an order. The caller holds the pool's mu.
func (e *engine) obey(o order) int {
	own := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch {
	case o.Op == "join":
		return e.join(o, own)
	case o.Op == "stage":
		time.AfterFunc(loadTime, func() { e.update(func() { e.staged = []string{o.Model} }) })
		return http.StatusAccepted
	case !own:
		return http.StatusConflict
	case o.Op == "open" && e.group.State == "open":
		return http.StatusOK
	case o.Op == "open" && e.group.State == "ready" && e.group.Rank == 0:
		g := e.group
		time.AfterFunc(formTime, func() {
			e.update(func() {
				if e.group == g {
					g.State = "open"
				}
			})
		})
		return http.StatusAccepted
	case o.Op == "close" && e.group.State == "open":
		e.group.State = "ready"
		e.reportChange()
		return http.StatusAccepted
	case o.Op == "leave":
		e.group = nil
		e.reportChange()
		return http.StatusOK
	}
	return http.StatusConflict
}

func (e *engine) join(o order, own bool) int {
	switch {
	case own && fmt.Sprint(e.group.members) == fmt.Sprint(o.Members):
		return http.StatusOK
	case own || o.Epoch < e.highest:
		return http.StatusPreconditionFailed
	}
	e.recordTheft(o)
	rank := -1
	for i, id := range o.Members {
		if id == e.id {
			rank = i
		}
	}
	took := loadTime
	switch {
	case e.lastModel == o.Model:
		took = rejoinTime
	case len(e.staged) > 0 && e.staged[0] == o.Model:
		took = warmTime
	}
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", members: o.Members}
	e.group, e.highest = g, o.Epoch
	e.reportChange()
	time.AfterFunc(took, func() {
		e.update(func() {
			if e.group == g {
				g.State, e.lastModel, e.staged = "ready", o.Model, []string{o.Model}
			}
		})
	})
	return http.StatusAccepted
}

// recordTheft records a join of another group while the head of the present group
// is open or closing.
func (e *engine) recordTheft(o order) {
	if e.group == nil || len(e.group.members) == 0 {
		return
	}
	head := e.pool.engines[e.group.members[0]]
	if head == nil || head.group == nil || head.group.Name != e.group.Name || head.group.Epoch != e.group.Epoch {
		return
	}
	if head.group.State == "open" || head.group.State == "closing" {
		e.pool.stolen++
		e.d.rec.printf("TWO: engine %s takes a join of %s while %s, the head of its group %s, is %s", e.id, o.Group, head.id, e.group.Name, head.group.State)
	}
}

func (e *engine) update(change func()) {
	e.pool.mu.Lock()
	change()
	e.pool.mu.Unlock()
	e.reportChange()
}

// openHeads returns the heads of the open groups.
func (p *enginePool) openHeads() []*engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var heads []*engine
	for _, e := range p.engines {
		if e.group != nil && e.group.Rank == 0 && e.group.State == "open" {
			heads = append(heads, e)
		}
	}
	return heads
}
