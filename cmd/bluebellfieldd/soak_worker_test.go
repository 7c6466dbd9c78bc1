package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// soakDrainTime is drain_ms of the users' sheets: requests that a caller sends
	// later after its entry was told of a departure must not arrive.
	soakDrainTime = 2 * time.Second
	// pauseSlack is the time after an answer that asks for a pause from which on at
	// most maxPausedArrivals requests of the same entry may arrive.
	pauseSlack        = 500 * time.Millisecond
	maxPausedArrivals = 2
	beatInterval      = 400 * time.Millisecond
)

// soakWorker is an upstream of which one incarnation follows the other. Unless it is
// steady, each tells in its answers at some time that it wants a pause or is leaving,
// while its heartbeats go on saying that it is ready.
type soakWorker struct {
	soak   *configSoak
	steady bool
	random *rand.Rand
}

// run runs one incarnation after the other.
func (w *soakWorker) run(ctx context.Context, n int) {
	for incarnation := 1; ctx.Err() == nil; incarnation++ {
		i := &workerIncarnation{soak: w.soak, id: fmt.Sprintf("w-%d-%d", n, incarnation), told: map[string]time.Time{}, pauses: map[string]entryPause{}}
		life := time.Hour
		if !w.steady {
			i.pauseAt = time.Now().Add(time.Duration(1000+w.random.IntN(2000)) * time.Millisecond)
			i.pauseUntil = i.pauseAt.Add(time.Duration(1000+w.random.IntN(2000)) * time.Millisecond)
			i.leaveAt = i.pauseUntil.Add(time.Duration(500+w.random.IntN(2000)) * time.Millisecond)
			life = time.Until(i.leaveAt) + soakDrainTime + 1500*time.Millisecond
		}
		i.run(ctx, n, life)
	}
}

// workerIncarnation is one process of an upstream.
type workerIncarnation struct {
	soak                         *configSoak
	id                           string
	pauseAt, pauseUntil, leaveAt time.Time

	mu sync.Mutex
	// told holds the time at which each entry was first told that this process is
	// leaving, pauses what it was last told of a pause.
	told   map[string]time.Time
	pauses map[string]entryPause
}

// entryPause is a pause that an entry was asked for.
type entryPause struct {
	from, until time.Time
	arrivals    int
}

// run serves requests and sends heartbeats for the life of the process.
func (i *workerIncarnation) run(ctx context.Context, n int, life time.Duration) {
	server := httptest.NewServer(i)
	defer server.Close()
	born, end := time.Now().UnixMilli(), time.Now().Add(life)
	controls := i.soak.controls
	for number := 1; ctx.Err() == nil && time.Now().Before(end); number++ {
		body := fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","version":"v1","slots":20,"state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d}`,
			server.Listener.Addr(), number, born)
		for try := range controls {
			c := controls[(n+number+try)%len(controls)]
			resp, err := i.soak.http.Post("http://"+i.soak.address(c, "control")+"/v1/Instances.Heartbeat/"+i.id, "application/json", strings.NewReader(body))
			if err == nil {
				_ = resp.Body.Close()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// ServeHTTP implements http.Handler. The id of a request names the entry that the
// caller sent it to.
func (i *workerIncarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := r.Header.Get("Bluebellfield-Attempt-Id")
	w.Header().Set("Bluebellfield-Attempt-Id", id)
	if r.Header.Get("Bluebellfield-Expect-Instance") != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	entry, _, _ := strings.Cut(id, "-")
	nanos, _ := strconv.ParseInt(r.Header.Get("Sent"), 10, 64)
	i.check(now, entry, time.Unix(0, nanos))
	if i.wantsPause(now) {
		left := i.pauseUntil.Sub(now)
		i.tellPause(now, entry, left)
		w.Header().Set("Bluebellfield-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Bluebellfield-Server-Seal", "seal")
	if !i.leaveAt.IsZero() && now.After(i.leaveAt) {
		w.Header().Set("Server-Leaving", "1")
		i.tellDeparture(entry)
	}
	_, _ = io.WriteString(w, "served")
}

func (i *workerIncarnation) wantsPause(now time.Time) bool {
	return !i.pauseAt.IsZero() && now.After(i.pauseAt) && now.Before(i.pauseUntil)
}

// check records a failure if the request should not have arrived. A disruption of its
// entry since the entry was told excuses it.
func (i *workerIncarnation) check(now time.Time, entry string, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if told, ok := i.told[entry]; ok && sent.Sub(told) > soakDrainTime && i.soak.entryCalm(entry, told) {
		i.soak.fail("%s got a request of %s that was sent %s after the entry was told that it leaves", i.id, entry, sent.Sub(told))
	}
	p, ok := i.pauses[entry]
	if !ok || now.Before(p.from.Add(pauseSlack)) || !now.Before(p.until) {
		return
	}
	p.arrivals++
	i.pauses[entry] = p
	if p.arrivals > maxPausedArrivals && i.soak.entryCalm(entry, p.from) {
		i.soak.fail("%s got %d requests of %s during the pause that it had asked for", i.id, p.arrivals, entry)
	}
}

func (i *workerIncarnation) tellPause(now time.Time, entry string, left time.Duration) {
	i.mu.Lock()
	if p, ok := i.pauses[entry]; !ok || !now.Before(p.until) {
		i.pauses[entry] = entryPause{from: now, until: now.Add(left)}
	}
	i.mu.Unlock()
	i.soak.mu.Lock()
	defer i.soak.mu.Unlock()
	i.soak.pauses++
}

func (i *workerIncarnation) tellDeparture(entry string) {
	i.mu.Lock()
	if _, ok := i.told[entry]; !ok {
		i.told[entry] = time.Now()
	}
	i.mu.Unlock()
	i.soak.mu.Lock()
	defer i.soak.mu.Unlock()
	i.soak.departures++
}

// entryCalm reports whether an entry has run without a disruption since a time.
func (s *configSoak) entryCalm(id string, since time.Time) bool {
	for _, e := range s.entries {
		if e.id == id {
			return e.calm(since)
		}
	}
	return false
}
