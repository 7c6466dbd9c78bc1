package instance_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// departureSoakSeeds is the number of seeds of TestDepartureSoak that CI runs.
	departureSoakSeeds = 2
	departureRounds    = 3
	// contactTime is the contact_ms of the platform: instances are in touch that long
	// after the last disruption.
	contactTime = 3 * time.Second
)

// Guards against a departed upstream that is used again after any kind of restart: all
// processes at once, all control instances, some of them one after another, entries.
// Reports from before the departure arrive late, at several instances.
func TestDepartureSoak(t *testing.T) {
	seeds := uint64(departureSoakSeeds)
	if text := os.Getenv("BLUEBELLFIELD_SOAK_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 16)
		require.NoError(t, err)
		seeds = n
	}
	blocks := make(chan int, 8)
	for n := range cap(blocks) {
		blocks <- 11 + n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			block := <-blocks
			t.Cleanup(func() { blocks <- block })
			s := &departureSoak{cluster: newCluster(t, block), random: rand.New(rand.NewPCG(seed, 39))}
			s.run(block)
		})
	}
}

type departureSoak struct {
	*cluster
	random            *rand.Rand
	controls, entries []string
	kept              *soakWorker
}

// soakWorker is a worker that counts the requests that it gets.
type soakWorker struct {
	id, address string
	born        int64
	arrived     atomic.Int32
}

func (s *departureSoak) startWorker(id string) *soakWorker {
	w := &soakWorker{id: id, born: time.Now().UnixMilli()}
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.arrived.Add(1)
		rw.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
		rw.Header().Set("Bluebellfield-Server-Seal", "seal")
		_, _ = io.WriteString(rw, "served")
	}))
	s.t.Cleanup(server.Close)
	w.address = strings.TrimPrefix(server.URL, "http://")
	return w
}

func (s *departureSoak) run(block int) {
	for n, seed := range s.seeds {
		s.controls = append(s.controls, seedHost(seed))
		s.start(s.controls[n], true, false, fmt.Sprint("n-", n))
	}
	s.entries = []string{hostID(block, 4), hostID(block, 5)}
	for _, id := range s.entries {
		s.start(id, true, true, "")
	}
	s.kept = s.startWorker("kept")
	stop := make(chan struct{})
	defer close(stop)
	go s.keepReporting(stop)
	s.eventually("acknowledged", func() bool { return s.putConfiguration(s.controls[0], 1, "/") })
	for round := range departureRounds {
		s.playRound(round)
	}
}

// report sends a heartbeat of a worker and returns the status of the answer.
func report(control string, w *soakWorker, sequence int, state string) int {
	body := fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","version":"v1","slots":4,"state":%q,"cold_remaining_ms":0,"seq":%d,"born":%d}`, w.address, state, sequence, w.born)
	status, _ := call("POST", "http://"+address(control, controlPort)+"/v1/Instances.Heartbeat/"+w.id, []byte(body))
	return status
}

// keepReporting reports the worker that stays. Calls fail while instances are down.
func (s *departureSoak) keepReporting(stop chan struct{}) {
	for sequence := 1; ; sequence++ {
		report(s.controls[sequence%len(s.controls)], s.kept, sequence, "ready")
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (s *departureSoak) anyControl() string { return s.controls[s.random.IntN(len(s.controls))] }

func (s *departureSoak) playRound(round int) {
	w := s.startWorker(fmt.Sprint("leaving-", round))
	s.eventually("registered", func() bool { return report(s.anyControl(), w, 1, "ready") == http.StatusOK })
	s.eventually("both serve", func() bool { return s.sendRequests(4) && w.arrived.Load() > 0 })
	draining := s.random.IntN(2) == 0
	s.eventually("the departure is acknowledged", func() bool {
		if draining {
			return report(s.anyControl(), w, 9, "draining") == http.StatusOK
		}
		status, _ := call("POST", "http://"+address(s.anyControl(), controlPort)+"/v1/Instances.Deregister/"+w.id, fmt.Appendf(nil, `{"born":%d}`, w.born))
		return status == http.StatusOK
	})
	for range 1 + s.random.IntN(2) {
		s.disrupt()
	}
	for sequence := range 3 {
		report(s.anyControl(), w, 2+sequence, "ready")
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
	s.eventually("the entries serve again", func() bool { return s.sendRequests(2) })
	time.Sleep(contactTime)
	before := w.arrived.Load()
	for sequence := range 3 {
		report(s.anyControl(), w, 5+sequence, "ready")
		time.Sleep(100 * time.Millisecond)
		require.True(s.t, s.sendRequests(6))
	}
	require.Equal(s.t, before, w.arrived.Load(), "%s is used after its departure (draining: %v)", w.id, draining)
}

// sendRequests sends requests to each entry and reports whether all were served.
func (s *departureSoak) sendRequests(n int) bool {
	for range n {
		for _, id := range s.entries {
			if status, _ := request(id, "/x"); status != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// disrupt restarts instances in a way that is drawn by lot.
func (s *departureSoak) disrupt() {
	var controls, entries []string
	switch s.random.IntN(5) {
	case 0, 1:
		controls, entries = s.controls, s.entries
	case 2:
		controls, entries = s.controls, s.entries[:1]
	case 3:
		n := s.random.IntN(len(s.controls))
		controls, entries = s.controls[n:n+1], s.entries
	case 4:
		for _, n := range s.random.Perm(len(s.controls))[:2] {
			s.restart(s.controls[n:n+1], nil)
		}
	}
	s.restart(controls, entries)
}

// restart stops instances together and starts them again with their disks.
func (s *departureSoak) restart(controls, entries []string) {
	for _, id := range slices.Concat(controls, entries) {
		s.stop(id)
	}
	time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	for _, id := range controls {
		s.start(id, false, false, fmt.Sprint("n-", slices.Index(s.controls, id)))
	}
	for _, id := range entries {
		s.start(id, false, true, "")
	}
}
