package instance_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// contact is the contact_ms of the platform: the time within which all
	// instances in touch must act on a crash.
	contact = 3 * time.Second
	// crashLimit is the number of crashes after which a request must stop, and
	// the number of times that it may still reach an upstream once contact has
	// passed.
	crashLimit = 3
	// restartTime is how long a crashed upstream is down. It is shorter than on
	// the platform, so that a test sees more crashes.
	restartTime  = 400 * time.Millisecond
	timeToCrash  = 20 * time.Millisecond
	beatInterval = 100 * time.Millisecond
	workerPort   = 18230
)

// crashingService is a plain service whose upstreams end when they run a request
// for a path that ends with "crash". They start again at the same address with a
// new id.
type crashingService struct {
	controls []string
	ctx      context.Context
	wg       sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	// arrivals are the times at which a crashing request reached an upstream.
	arrivals []time.Time
}

func startCrashingService(t *testing.T, controls, hosts []string) *crashingService {
	ctx, cancel := context.WithCancel(context.Background())
	s := &crashingService{controls: controls, ctx: ctx}
	for _, host := range hosts {
		s.wg.Go(func() { s.runUpstream(host) })
	}
	t.Cleanup(func() {
		cancel()
		s.wg.Wait()
	})
	return s
}

// runUpstream runs one incarnation of an upstream after the other.
func (s *crashingService) runUpstream(host string) {
	for incarnation := 1; s.ctx.Err() == nil; incarnation++ {
		if listener, err := net.Listen("tcp", address(host, workerPort)); err == nil {
			s.runIncarnation(listener, fmt.Sprintf("w-%s-%d", host, incarnation))
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(restartTime):
		}
	}
}

func (s *crashingService) runIncarnation(listener net.Listener, id string) {
	ended := make(chan struct{})
	var once sync.Once
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Bluebellfield-Expect-Instance") != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case strings.HasSuffix(r.URL.Path, "crash"):
			s.record(&s.arrivals)
			time.Sleep(timeToCrash)
			once.Do(func() {
				s.record(&s.crashes)
				close(ended)
			})
			<-r.Context().Done()
			return
		}
		w.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
		w.Header().Set("Bluebellfield-Server-Seal", "seal")
		_, _ = io.WriteString(w, "served")
	})}
	go func() { _ = server.Serve(listener) }()
	started := time.Now().UnixMilli()
	for number := 1; ; number++ {
		body := fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d}`, listener.Addr(), number, started)
		call("POST", "http://"+address(s.controls[number%len(s.controls)], controlPort)+"/v1/Instances.Heartbeat/"+id, []byte(body))
		select {
		case <-s.ctx.Done():
		case <-ended:
		case <-time.After(beatInterval):
			continue
		}
		_ = server.Close()
		return
	}
}

func (s *crashingService) record(times *[]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*times = append(*times, time.Now())
}

func (s *crashingService) arrivalCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// arrivalsAfterLimit counts the arrivals of the crashing request later than
// contact after its last allowed crash.
func (s *crashingService) arrivalsAfterLimit() (late, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < crashLimit {
		return 0, len(s.crashes)
	}
	for _, at := range s.arrivals {
		if at.After(s.crashes[crashLimit-1].Add(contact)) {
			late++
		}
	}
	return late, len(s.crashes)
}

// Guards against a request that crashes each upstream that runs it and comes
// again through all entries: upstreams end as often as they start, and the other
// requests of the service find none.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	c := newCluster(t, 5)
	var controls []string
	for n, seed := range c.seeds {
		controls = append(controls, seedHost(seed))
		c.start(controls[n], true, false, fmt.Sprint("n-", n))
	}
	entries := []string{hostID(5, 4), hostID(5, 5), hostID(5, 6)}
	for _, id := range entries {
		c.start(id, true, true, "")
	}
	c.eventually("acknowledged", func() bool { return c.putConfiguration(controls[0], 1, "/") })
	s := startCrashingService(t, controls, []string{hostID(5, 7), hostID(5, 8), hostID(5, 9)})
	for _, id := range entries {
		c.eventually("served", func() bool { status, _ := request(id, "/sound"); return status == 200 })
	}
	// The caller sends its request again for longer than it takes to crash the
	// limit and contact together.
	const resendInterval, duration = 50 * time.Millisecond, 2*time.Second + contact + 3*time.Second
	sound, served := 0, 0
	for started := time.Now(); time.Since(started) < duration; time.Sleep(resendInterval) {
		entry := entries[sound%len(entries)]
		go request(entry, "/the/crash")
		if status, _ := request(entries[(sound+1)%len(entries)], fmt.Sprint("/sound/", sound)); status == 200 && time.Since(started) > duration/2 {
			served++
		}
		sound++
	}
	late, crashes := s.arrivalsAfterLimit()
	t.Logf("%d upstreams ended; the request came %d times after the limit; %d of %d sound requests were served in the second half", crashes, late, served, sound/2)
	require.GreaterOrEqual(t, crashes, crashLimit)
	require.LessOrEqual(t, late, crashLimit, "a request under which %d upstreams had ended was sent to upstreams again", crashLimit)
	require.Greater(t, served, sound/2*9/10, "sound requests of the same caller are served")
}

// Guards against a request that is quarantined and crashes upstreams again after
// all instances have restarted at once, because no entry is left to tell the
// others.
func TestQuarantineSurvivesRestartOfAllInstances(t *testing.T) {
	c := newCluster(t, 6)
	var controls []string
	for n, seed := range c.seeds {
		controls = append(controls, seedHost(seed))
		c.start(controls[n], true, false, fmt.Sprint("n-", n))
	}
	entries := []string{hostID(6, 4), hostID(6, 5)}
	for _, id := range entries {
		c.start(id, true, true, "")
	}
	c.eventually("acknowledged", func() bool { return c.putConfiguration(controls[0], 1, "/") })
	s := startCrashingService(t, controls, []string{hostID(6, 7), hostID(6, 8), hostID(6, 9)})
	for _, id := range entries {
		c.eventually("refused", func() bool {
			status, body := request(id, "/the/crash")
			return status == http.StatusServiceUnavailable && strings.Contains(body, "crashes upstreams")
		})
	}
	time.Sleep(time.Second)
	for id := range c.running {
		c.stop(id)
	}
	for n, id := range controls {
		c.start(id, false, false, fmt.Sprint("n-", n))
	}
	for _, id := range entries {
		c.start(id, false, true, "")
	}
	before := s.arrivalCount()
	for _, id := range entries {
		c.eventually("served", func() bool { status, _ := request(id, "/sound"); return status == 200 })
		for range 5 {
			status, _ := request(id, "/the/crash")
			require.Equal(t, http.StatusServiceUnavailable, status)
		}
	}
	require.Equal(t, before, s.arrivalCount())
}
