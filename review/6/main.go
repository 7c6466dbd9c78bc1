// Command 6 shows that the members of an open group are ordered into another group
// after the former address of its head was given to a worker of another service.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/bluebellfield/bluebellfield/review/lab"
)

const (
	engines   = 8
	groupSize = 3
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New("review/6/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.NotRun
	}
	return l.Finish(play(l))
}

func play(l *lab.Lab) error {
	controls, entries, err := l.Start(3, 2)
	if err != nil {
		return err
	}
	models := []lab.Model{{Name: "m1", Size: groupSize, Load: 1200 * time.Millisecond, Warm: time.Second}}
	fleet := lab.NewFleet(l, controls, models)
	hosts := map[string]string{}
	for i := range engines {
		id := engineID(i)
		hosts[id] = l.Host()
		if _, err := fleet.StartWorker(id, "model", "zone-1", hosts[id], true, nil); err != nil {
			return err
		}
	}
	if _, err := fleet.StartWorker("a1", "app", "zone-1", l.Host(), false, nil); err != nil {
		return err
	}
	if err := l.PutConfiguration(controls, configuration()); err != nil {
		return err
	}
	if err := l.AwaitReady(entries); err != nil {
		return err
	}
	if err := awaitOpen(fleet, 2); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go traffic(l, entries, stop)
	time.Sleep(3 * time.Second)

	// All workers of a domain crash. They start again under the ids that they had,
	// at other addresses.
	former := hosts[engineID(0)]
	if l.Trouble {
		for i := range engines {
			fleet.Get(engineID(i)).Crash()
		}
		time.Sleep(4 * time.Second)
		for i := range engines {
			id := engineID(i)
			hosts[id] = l.Host()
			if _, err := fleet.StartWorker(id, "model", "zone-1", hosts[id], true, []string{"m1"}); err != nil {
				return err
			}
		}
		if err := awaitOpen(fleet, 2); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)

	// A worker of another service gets the address of a worker that has ended more
	// than reuse_after_s ago.
	head := openHead(fleet)
	l.Log("head of an open group: %s", head)
	address := l.Host()
	if l.Trouble {
		address = former
	}
	if _, err := fleet.StartWorker("a2", "app", "zone-1", address, false, nil); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	return nil
}

func engineID(i int) string { return fmt.Sprintf("w%d", i+1) }

// openHead returns the head of an open group, the first worker if it is one.
func openHead(fleet *lab.Fleet) string {
	for i := range engines {
		if _, rank, state := fleet.Get(engineID(i)).State(); rank == 0 && state == "open" {
			return engineID(i)
		}
	}
	return ""
}

func awaitOpen(fleet *lab.Fleet, want int) error {
	deadline := time.Now().Add(40 * time.Second)
	for time.Now().Before(deadline) {
		open := 0
		for i := range engines {
			if _, rank, state := fleet.Get(engineID(i)).State(); rank == 0 && state == "open" {
				open++
			}
		}
		if open == want {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%d groups did not open", want)
}

// traffic sends requests of both services.
func traffic(l *lab.Lab, entries []string, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		go func() {
			r := lab.Request{Entry: entries[i%len(entries)], Method: "POST", Host: "h.example", Path: "/model/1", Deadline: 6 * time.Second, Body: []byte("prompt"),
				Header: map[string]string{"Bluebellfield-Model": "m1", "Bluebellfield-Token-Counts": "400,24", "Bluebellfield-Prompt-Prefix": fmt.Sprintf("%x:400", i)}}
			a := lab.Send(r)
			l.Log("request %s: status %d, %d bytes, server %s, error %v", a.ID, a.Status, len(a.Body), a.Server, a.Err)
		}()
	}
}

func configuration() map[string]any {
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
				"models": []any{map[string]any{"name": "m1", "size": groupSize, "share": 1.0, "pace": 1.0, "load_s": 12.0, "warm_s": 1.0}}}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1"},
		},
		"limits": lab.Limits(),
	}
}
