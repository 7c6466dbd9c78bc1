package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// lossTime and lossShare are those of the disruption answer_lost on the users'
	// sheet: 4 s, and one in twenty answers of a part of the workers.
	lossTime     = 4 * time.Second
	lossShare    = 20
	callInterval = 8 * time.Millisecond
)

// variants are the shapes of the requests to a route that is not idempotent.
var variants = []struct {
	name string
	call call
}{
	{"POST with a body", call{method: http.MethodPost, path: "/book/one", body: "horse=7&rug=12"}},
	{"GET", call{method: http.MethodGet, path: "/book/charge?horse=7"}},
	{"POST without a body, with an Idempotency-Key", call{method: http.MethodPost, path: "/book/two", header: map[string]string{"Idempotency-Key": "horse-7"}}},
}

// runReplay shows that a request of a route that is not idempotent runs twice when
// the worker has run it and its answer is lost.
func runReplay(rec *record, trouble bool) (bool, error) {
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
	ids := make([]map[string]bool, len(variants))
	for i := range ids {
		ids[i] = map[string]bool{}
	}
	statuses := make([]map[int]int, len(variants))
	for i := range statuses {
		statuses[i] = map[int]int{}
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	setLoss := func(lose func(int) bool) {
		workers[0].mu.Lock()
		defer workers[0].mu.Unlock()
		workers[0].loseAnswer = lose
	}
	started := time.Now()
	for n := 0; time.Since(started) < lossTime+2*time.Second; n++ {
		if trouble && n == int(time.Second/callInterval) {
			rec.printf("disruption: worker %s loses the answer of one in %d of its requests for %s", workers[0].id, lossShare, lossTime)
			setLoss(func(run int) bool { return run%lossShare == 0 })
			time.AfterFunc(lossTime, func() { setLoss(nil) })
		}
		clients.Go(func() {
			v := n % len(variants)
			c := variants[v].call
			c.entry = d.entries()[n%2]
			r := d.send(c)
			mu.Lock()
			defer mu.Unlock()
			ids[v][r.id] = true
			statuses[v][r.status]++
		})
		time.Sleep(callInterval)
	}
	clients.Wait()
	time.Sleep(time.Second)
	twice := 0
	for v, variant := range variants {
		repeated := 0
		for id := range ids[v] {
			runs := 0
			for _, w := range workers {
				w.mu.Lock()
				runs += len(w.runs[id])
				w.mu.Unlock()
			}
			if runs > 1 {
				repeated++
				rec.printf("TWICE: %s (%s) has run %d times", id, variant.name, runs)
			}
		}
		rec.printf("%s: %d requests, answers %v, %d of them ran more than once", variant.name, len(ids[v]), statuses[v], repeated)
		twice += repeated
	}
	return twice > 0, nil
}
