package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unreadableID is the path segment of a heartbeat whose id is no text: the two
	// bytes 0xff and 0xfe occur in no UTF-8 string.
	unreadableID = "i-%FF%FE"
	// coreMachines is the number of control daemons of the grown deployments.
	coreMachines = 6
	// grownDrain and grownContact are drain_ms and contact_ms of these deployments.
	grownDrain   = 2500 * time.Millisecond
	grownContact = 4 * time.Second
)

// runHeartbeat shows that after heartbeats with an unreadable id, the departure of
// a worker is acknowledged and never reaches the entry daemons.
func runHeartbeat(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, coreMachines, 3)
	if err != nil {
		return false, err
	}
	workers, err := d.startWorkers(4)
	if err != nil {
		return false, err
	}
	if _, err := d.putConfig(newConfig(3, newRoute("r-book", "/book/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * grownContact)
	if trouble {
		// Like a worker, the other writer calls another control daemon each time.
		for _, control := range d.controls() {
			if err := d.sendUnreadable(control); err != nil {
				return false, err
			}
			time.Sleep(heartbeatInterval)
		}
	}
	time.Sleep(grownContact)
	broken := false
	for i, w := range workers[:2] {
		late, err := d.checkDeparture(w, d.controls()[seedCount+i])
		if err != nil {
			return false, err
		}
		broken = broken || late
	}
	return broken, nil
}

// sendUnreadable sends the heartbeat of another writer: its id cannot be read, and
// it names a service that the configuration does not have.
func (d *deployment) sendUnreadable(control string) error {
	body, err := json.Marshal(map[string]any{"service": "elsewhere", "address": d.subnet + "99:9", "zone": zones[0], "version": "v1",
		"slots": 1, "state": "ready", "cold_remaining_ms": 0, "born": time.Now().UnixMilli(), "seq": 1})
	if err != nil {
		return err
	}
	status, answer, err := d.post(control, "/v1/Instances.Heartbeat/"+unreadableID, body)
	d.rec.printf("disruption: heartbeat with the id %s to %s: %d %s", unreadableID, control, status, answer)
	return err
}

// checkDeparture makes a worker deregister at a control daemon and go on serving.
// It reports whether requests reach the worker later than drain_ms after the
// acknowledgement.
func (d *deployment) checkDeparture(w *worker, control string) (bool, error) {
	close(w.stopped)
	body, err := json.Marshal(map[string]any{"born": w.born})
	if err != nil {
		return false, err
	}
	status, answer, err := d.post(control, "/v1/Instances.Deregister/"+w.id, body)
	acknowledged := time.Now()
	d.rec.printf("worker %s: deregisters at %s and serves on: %d %s", w.id, control, status, answer)
	if err != nil || status/100 != 2 {
		return false, errors.Join(err, errors.New("the departure was not acknowledged"))
	}
	time.Sleep(grownDrain + time.Second)
	from := time.Now()
	for range 20 {
		for _, e := range d.entries() {
			d.send(booking(e))
		}
	}
	late := w.runsAfter(from)
	d.rec.printf("worker %s: %d of 60 requests that were sent later than %s after the acknowledgement reached it", w.id, late, from.Sub(acknowledged))
	cut := d.cutByExit(w)
	d.rec.printf("worker %s: ended %s after the acknowledgement; %d of 60 requests that were sent just before were running there and got no answer of it", w.id, time.Since(acknowledged), cut)
	return late > 0, nil
}

// cutByExit ends a worker while clients send requests, and counts those that the
// worker has begun to run and whose clients get no success.
func (d *deployment) cutByExit(w *worker) int {
	var failed atomic.Int64
	var clients sync.WaitGroup
	for range 20 {
		for _, e := range d.entries() {
			clients.Go(func() {
				if r := d.send(booking(e)); r.status/100 != 2 && ran([]*worker{w}, r.id) {
					failed.Add(1)
				}
			})
		}
	}
	time.Sleep(workTime / 2)
	w.exit()
	clients.Wait()
	return int(failed.Load())
}

func booking(e *daemon) call {
	return call{entry: e, method: http.MethodPost, path: "/book/one", body: "horse=7&rug=12"}
}
