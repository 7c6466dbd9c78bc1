package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// runLate looks for a worker that is in use again after it has left: all control
// daemons and an entry daemon are killed and back within a second, and a heartbeat
// that the worker sent before its departure arrives late. It is not handed in as a
// case.
func runLate(rec *record, trouble bool) (bool, error) {
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
	w := workers[0]
	late, err := json.Marshal(map[string]any{"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots,
		"state": "ready", "cold_remaining_ms": 0, "born": w.born, "seq": 1000})
	if err != nil {
		return false, err
	}
	close(w.stopped)
	body, err := json.Marshal(map[string]any{"born": w.born})
	if err != nil {
		return false, err
	}
	status, _, err := d.post(d.controls()[1], "/v1/Instances.Deregister/"+w.id, body)
	if err != nil || status != http.StatusOK {
		return false, errors.Join(err, errors.New("the departure was not acknowledged"))
	}
	acknowledged := time.Now()
	rec.printf("worker %s: has deregistered and serves on", w.id)
	time.Sleep(time.Second)
	if trouble {
		if err := d.restart(d.daemons[0], d.daemons[1], d.daemons[2], d.entries()[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	status, _, err = d.post(d.controls()[0], "/v1/Instances.Heartbeat/"+w.id, late)
	rec.printf("the heartbeat that was sent before arrives: %d %s", status, errorText(err))
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	from := time.Now()
	for range 20 {
		for _, e := range d.entries() {
			d.send(booking(e))
		}
	}
	reached := w.runsAfter(from)
	rec.printf("DRAIN: %d of 40 requests, sent %s after the acknowledgement, reached the worker that had left", reached, from.Sub(acknowledged))
	return reached > 0, nil
}
