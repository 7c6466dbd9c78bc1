package main

import (
	"net/http"
	"time"
)

// latinModel is a model name in Latin-1: a byte that a header value may contain,
// and that is no UTF-8.
const latinModel = "caf\xe9"

// runModel shows that a client whose model name is no UTF-8 keeps changes of the
// configuration from the entry daemons. No page names this disruption, so that it is
// no case of the review.
func runModel(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, 3, 2)
	if err != nil {
		return false, err
	}
	if _, err := d.startWorkers(3); err != nil {
		return false, err
	}
	status, dropped := newRoute("r-status", "/status/", "idempotent", 2), newRoute("r-old", "/old/", "idempotent", 2)
	if _, err := d.putConfig(newConfig(3, status, dropped)); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	model := "cafe"
	if trouble {
		model = latinModel
		rec.printf("disruption: a client of each entry daemon sends five requests a second with the model %q", model)
	}
	sendFor := func(duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			for _, e := range d.entries() {
				d.send(call{entry: e, method: http.MethodGet, path: "/status/1", header: map[string]string{"Bluebellfield-Model": model}})
			}
		}
	}
	sendFor(10 * time.Second)
	acknowledged, err := d.putConfig(newConfig(8, status))
	if err != nil {
		return false, err
	}
	sendFor(2 * configApply)
	broken := false
	for _, e := range d.entries() {
		r := d.send(call{entry: e, method: http.MethodGet, path: "/old/2"})
		if r.status == http.StatusOK {
			broken = true
			rec.printf("CONFIG: %s was sent %s after the acknowledgement of version 8 and served by a route that it dropped", r.id, r.sent.Sub(acknowledged))
		}
	}
	return broken, nil
}
