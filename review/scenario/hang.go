package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// spoilTime and spoilShare are within those of the disruption garble on the
	// users' sheet: up to 5.5 s, and 0.03 of the answers of 0.6 of the workers.
	spoilTime  = 5 * time.Second
	spoilShare = 34
	// answerMargin is the time after the route's timeout that the rule allows.
	answerMargin = 500 * time.Millisecond
	routeTimeout = 1200 * time.Millisecond
	// patience is how long the clients wait, so that they see whether an answer
	// comes at all.
	patience = 10 * time.Second
)

// runHang shows that a request is never answered if the worker spoils the head of
// its answer so that it reads as a change of the protocol. It is not handed in as a
// case.
func runHang(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, 3, 2)
	if err != nil {
		return false, err
	}
	workers, err := d.startWorkers(5)
	if err != nil {
		return false, err
	}
	if _, err := d.putConfig(newConfig(3, newRoute("r-status", "/status/", "idempotent", 2))); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	d.patience = patience
	if trouble {
		for _, w := range workers[:3] {
			rec.printf("disruption: worker %s spoils one in %d of its answers for %s", w.id, spoilShare, spoilTime)
			w.setSpoil(func(run int) bool { return run%spoilShare == 0 })
			time.AfterFunc(spoilTime, func() { w.setSpoil(nil) })
		}
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	all, unanswered, late, never := 0, 0, 0, 0
	for n, started := 0, time.Now(); time.Since(started) < spoilTime; n++ {
		clients.Go(func() {
			r := d.send(call{entry: d.entries()[n%2], method: http.MethodGet, path: "/status/1"})
			took := time.Since(r.sent)
			mu.Lock()
			defer mu.Unlock()
			all++
			if took >= routeTimeout {
				unanswered++
			}
			if took >= routeTimeout+answerMargin {
				late++
			}
			if r.status == 0 {
				never++
				rec.printf("CONFIG: %s has no answer after %s: %s", r.id, took, errorText(r.err))
			}
		})
		time.Sleep(callInterval)
	}
	clients.Wait()
	rec.printf("%d requests, %d unanswered at the timeout of their route (%s), %d of them half a second later, %d after %s", all, unanswered, routeTimeout, late, never, patience)
	if all == 0 {
		return false, errors.New("nothing was sent")
	}
	return 2*late > unanswered, nil
}

func (w *worker) setSpoil(spoil func(int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoilHead = spoil
}
