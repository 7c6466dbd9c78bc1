package settingsfeed

import (
	"fmt"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/cluster"
)

// watchPause is the resolution of the measured times.
const watchPause = 500 * time.Microsecond

// seen is the time at which a revision was first seen in force.
type seen struct {
	revision uint64
	at       time.Time
}

// watcher notes when revisions come into force on each entry.
type watcher struct {
	cluster *cluster.Cluster
	quit    chan struct{}
	done    sync.WaitGroup
	mu      sync.Mutex
	seen    map[string][]seen
}

func watchAll(c *cluster.Cluster) *watcher {
	w := &watcher{cluster: c, quit: make(chan struct{}), seen: map[string][]seen{}}
	for _, id := range c.IDs() {
		w.done.Go(func() { w.follow(id) })
	}
	return w
}

func (w *watcher) stop() {
	close(w.quit)
	w.done.Wait()
}

func (w *watcher) follow(id string) {
	ticker := time.NewTicker(watchPause)
	defer ticker.Stop()
	var newest uint64
	for {
		select {
		case <-w.quit:
			return
		case <-ticker.C:
		}
		d := w.cluster.Daemon(id)
		if d == nil {
			// A restarted daemon begins without settings.
			newest = 0
			w.mu.Lock()
			w.seen[id] = nil
			w.mu.Unlock()
			continue
		}
		if revision := d.Revision(); revision > newest {
			newest = revision
			w.mu.Lock()
			w.seen[id] = append(w.seen[id], seen{revision, time.Now()})
			w.mu.Unlock()
		}
	}
}

// wait returns when a revision was in force on the last of the entries.
func (w *watcher) wait(entries []string, revision uint64) (time.Time, error) {
	var last time.Time
	for _, id := range entries {
		err := cluster.WaitFor(inForceTimeout, fmt.Sprintf("revision %d on %s", revision, id), func() bool {
			at, ok := w.first(id, revision)
			if ok && at.After(last) {
				last = at
			}
			return ok
		})
		if err != nil {
			return last, err
		}
	}
	return last, nil
}

func (w *watcher) first(id string, revision uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.seen[id] {
		if s.revision >= revision {
			return s.at, true
		}
	}
	return time.Time{}, false
}
