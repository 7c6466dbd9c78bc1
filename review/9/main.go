// Command 9 shows that a worker whose departure was acknowledged gets requests again
// after all processes were killed at once and a late heartbeat of it arrived.
package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/bluebellfield/bluebellfield/review/lab"
)

// heartbeatDelay is the time after the acknowledgement of the departure at which the
// late heartbeat arrives. It was sent just before the departure.
const heartbeatDelay = 8 * time.Second

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New("review/9/record.txt")
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
	fleet := lab.NewFleet(l, controls, nil)
	leaving, err := fleet.StartWorker("a1", "app", "zone-1", l.Host(), "", nil)
	if err != nil {
		return err
	}
	if _, err := fleet.StartWorker("a2", "app", "zone-2", l.Host(), "", nil); err != nil {
		return err
	}
	if err := l.PutConfiguration(controls, configuration()); err != nil {
		return err
	}
	if err := l.AwaitReady(entries); err != nil {
		return err
	}
	// inTouch is the time from which calm machines are in touch, in Unix
	// nanoseconds. The worker is gone for the system since departed.
	var inTouch, departed atomic.Int64
	inTouch.Store(time.Now().UnixNano())
	leaving.OnRun(func(id string, sent time.Time) {
		since := departed.Load()
		if since == 0 || sent.UnixNano() < max(since+int64(lab.DrainTime), inTouch.Load()) {
			return
		}
		l.Break("request %s, sent %.3f s after the departure of worker a1 was acknowledged, reaches it", id, sent.Sub(time.Unix(0, since)).Seconds())
	})
	stop := make(chan struct{})
	defer close(stop)
	go traffic(l, entries, stop)
	time.Sleep(lab.ContactTime + time.Second)

	late := leaving.Heartbeat()
	acknowledged, err := leaving.Deregister()
	if err != nil {
		return err
	}
	departed.Store(acknowledged.UnixNano())
	if l.Trouble {
		if err := l.PutConfiguration(controls, configuration()); err != nil {
			return err
		}
		all := append(append([]string{}, controls...), entries...)
		for _, host := range all {
			l.Kill(host)
		}
		time.Sleep(500 * time.Millisecond)
		for _, host := range all {
			if err := l.Restart(host); err != nil {
				return err
			}
		}
		// Twice contact_ms after a final fault that took most of the core.
		inTouch.Store(time.Now().Add(2 * lab.ContactTime).UnixNano())
	}
	time.Sleep(time.Until(acknowledged.Add(heartbeatDelay)))
	status := lab.Post(controls[0], "/v1/Instances.Heartbeat/a1", late, time.Second)
	l.Log("late heartbeat of worker a1 answered %d", status)
	time.Sleep(3 * time.Second)
	leaving.Crash()
	return nil
}

// traffic sends requests in turn to each entry.
func traffic(l *lab.Lab, entries []string, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		go func() {
			a := lab.Send(lab.Request{Entry: entries[i%len(entries)], Method: "GET", Host: "h.example", Path: "/app/1", Deadline: 2500 * time.Millisecond})
			l.Log("request %s: status %d, server %s, error %v", a.ID, a.Status, a.Server, a.Err)
		}()
	}
}

func configuration() map[string]any {
	return map[string]any{
		"routes": []any{map[string]any{"name": "r1", "host": "h.example", "path_prefix": "/app/", "kind": "idempotent", "timeout_ms": 1200,
			"target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1"}},
		"limits":   lab.Limits(),
	}
}
