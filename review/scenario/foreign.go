package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// foreignPage is what the server of another system answers to every request.
const foreignPage = "<html><body>It works!</body></html>\n"

// runForeign shows that a heartbeat that lacks fields makes the server of another
// system a worker, and that its answers reach the clients as successes.
func runForeign(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, 3, 2)
	if err != nil {
		return false, err
	}
	workers, err := d.startWorkers(3)
	if err != nil {
		return false, err
	}
	if _, err := d.putConfig(newConfig(3, newRoute("r-book", "/book/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	address, hits, err := d.startForeignServer()
	if err != nil {
		return false, err
	}
	if trouble {
		if err := d.sendIncomplete(address); err != nil {
			return false, err
		}
	}
	time.Sleep(contact)
	wrong, lost, all := 0, 0, 0
	for range 60 {
		for _, e := range d.entries() {
			r := d.send(booking(e))
			all++
			if r.status/100 != 2 {
				continue
			}
			if r.seal == "" {
				wrong++
			}
			if !ran(workers, r.id) {
				lost++
				rec.printf("MIXED: %s was answered with %d without a seal, body %q, and no worker has run it", r.id, r.status, r.body)
			}
		}
	}
	rec.printf("%d requests, %d reached the other server, %d successes without a worker's seal, %d successes that no worker has run", all, hits.Load(), wrong, lost)
	return wrong > 0, nil
}

// startForeignServer starts the server of another system. It knows nothing of this
// platform and answers every request with a page.
func (d *deployment) startForeignServer() (address string, hits *atomic.Int64, err error) {
	l, err := net.Listen("tcp", d.subnet+"91:0")
	if err != nil {
		return "", nil, err
	}
	hits = &atomic.Int64{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		d.rec.printf("other server: gets %s %s for %s", r.Method, r.URL.Path, r.Host)
		w.Header().Set("Content-Type", "text/html")
		_, _ = io.WriteString(w, foreignPage)
	})}
	go func() { _ = server.Serve(l) }()
	d.rec.printf("a server of another system serves at %s", l.Addr())
	return l.Addr().String(), hits, nil
}

// sendIncomplete sends one heartbeat of another writer. It lacks `seq`,
// `version` and `cold_remaining_ms`.
func (d *deployment) sendIncomplete(address string) error {
	body, err := json.Marshal(map[string]any{"service": serviceName, "address": address, "zone": zones[0], "slots": workerSlots, "state": "ready", "born": time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	status, answer, err := d.post(d.controls()[0], "/v1/Instances.Heartbeat/web-1", body)
	d.rec.printf("disruption: heartbeat %s: %d %s", body, status, answer)
	return err
}

func ran(workers []*worker, id string) bool {
	for _, w := range workers {
		w.mu.Lock()
		n := len(w.runs[id])
		w.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
