package lab

import (
	"fmt"
	"time"
)

// AwaitOpen waits until a number of groups is open.
func (f *Fleet) AwaitOpen(want int) error {
	deadline := time.Now().Add(40 * time.Second)
	for time.Now().Before(deadline) {
		if f.open() == want {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%d groups did not open", want)
}

func (f *Fleet) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := 0
	for _, w := range f.workers {
		if _, rank, state := w.State(); rank == 0 && state == "open" {
			open++
		}
	}
	return open
}

// Traffic sends streams to the entries in turn.
func Traffic(l *Lab, entries []string, model string, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		go func() {
			r := Request{Entry: entries[i%len(entries)], Method: "POST", Host: "h.example", Path: "/model/1", Deadline: 6 * time.Second, Body: []byte("prompt"),
				Header: map[string]string{"Bluebellfield-Model": model, "Bluebellfield-Token-Counts": "400,24", "Bluebellfield-Prompt-Prefix": fmt.Sprintf("%x:400", i)}}
			a := Send(r)
			l.Log("request %s: status %d, %d bytes, server %s, error %v", a.ID, a.Status, len(a.Body), a.Server, a.Err)
		}()
	}
}

// EngineConfiguration has a service with engines for one model and a plain service.
func EngineConfiguration(model string, size int) map[string]any {
	return map[string]any{
		"routes": []any{
			map[string]any{"name": "r1", "host": "h.example", "path_prefix": "/model/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 400,
				"priority": 1, "service": "model", "max_attempts": 2, "sticky_sessions": true, "resumable": true, "gap_aim_ms": 250},
			map[string]any{"name": "r2", "host": "h.example", "path_prefix": "/app/", "kind": "idempotent", "timeout_ms": 1200, "target_latency_ms": 150,
				"priority": 2, "service": "app", "max_attempts": 2},
		},
		"services": []any{
			map[string]any{"name": "model", "health_path": "/healthz", "max_connections": 464, "protocol": "h1", "engine": map[string]any{
				"slots": 26, "kv_capacity_tokens": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0,
				"pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.5, "loads_at_once": 8, "usual": map[string]any{"prompt": 400, "answer": 24},
				"keeps": 1, "far_x": 4.0, "form_ms": 300.0,
				"models": []any{map[string]any{"name": model, "size": size, "share": 1.0, "pace": 1.0, "load_s": 12.0, "warm_s": 1.0}}}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1"},
		},
		"limits": Limits(),
	}
}
