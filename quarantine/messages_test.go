package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchange carries messages between trackers with a short delay and counts them.
type exchange struct {
	now      time.Time
	random   *rand.Rand
	trackers []*Tracker
	pending  []modelMessage
	sent     int
}

// Intervals of an exchange. A tick is that of package crashreport.
const (
	exchangeStep  = 5 * time.Millisecond
	exchangeTick  = 5 * exchangeStep
	exchangeDelay = 6 * exchangeStep
)

func newExchange(entries int) *exchange {
	x := &exchange{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 1))}
	var names []string
	for n := range entries {
		names = append(names, fmt.Sprintf("e%03d", n))
	}
	for _, name := range names {
		tracker := New(Config{Self: name, ReportTimeout: 500 * time.Millisecond})
		tracker.SetEntries(x.now, names)
		x.trackers = append(x.trackers, tracker)
	}
	return x
}

func (x *exchange) broadcast(from int, messages []Message) {
	for _, m := range messages {
		for to := range x.trackers {
			if to == from {
				continue
			}
			x.sent++
			delay := time.Duration(1+x.random.IntN(int(exchangeDelay/exchangeStep))) * exchangeStep
			x.pending = append(x.pending, modelMessage{to, x.now.Add(delay), m})
		}
	}
}

func (x *exchange) step() {
	x.now = x.now.Add(exchangeStep)
	due := x.pending
	x.pending = nil
	for _, m := range due {
		if x.now.Before(m.deliverAt) {
			x.pending = append(x.pending, m)
			continue
		}
		x.broadcast(m.to, x.trackers[m.to].Merge(x.now, m.msg))
	}
	// The entries tick one after the other.
	phase := int(x.now.UnixMilli()/exchangeStep.Milliseconds()) % int(exchangeTick/exchangeStep)
	for n, tracker := range x.trackers {
		if n%int(exchangeTick/exchangeStep) == phase {
			x.broadcast(n, tracker.Tick(x.now))
		}
	}
}

// crash crashes an upstream that runs a request of each of some entries. With
// elsewhere, they also run requests with the same parts on another upstream.
func (x *exchange) crash(t *testing.T, requests int, elsewhere bool) {
	target := Target{"crashed", 1}
	for n := range requests {
		tracker, part := x.trackers[n%len(x.trackers)], PartDigest("service", fmt.Sprint("part ", n))
		_, ok := tracker.Start(x.now, "service", uint64(n), digest(fmt.Sprint("request ", n)), target, part)
		require.True(t, ok)
		if elsewhere {
			_, ok = tracker.Start(x.now, "service", otherRun+uint64(n), digest(fmt.Sprint("other ", n)), Target{"sound", 1}, part)
			require.True(t, ok)
		}
	}
	for n := range min(requests, len(x.trackers)) {
		x.broadcast(n, x.trackers[n].Crashed(x.now, target))
	}
}

// otherRun is the first run on the other upstream.
const otherRun = 100

// Guards against an exchange in which each fact on a crash costs a message from
// each entry to each other one: among many entries the messages delay the verdict,
// and more upstreams crash meanwhile.
func TestMessagesForOneCrash(t *testing.T) {
	const (
		// A crash takes a report, a sum over all reports and one message in reserve.
		messagesForReports = 3
		settled            = 2 * time.Second
		reporting          = 10
	)
	for _, entries := range []int{7, 69} {
		for _, test := range []struct {
			name string
			// Parts are cleared one after the other until then.
			clearedUntil time.Duration
		}{
			{"no part is cleared", 0},
			{"parts are cleared", 500 * time.Millisecond},
		} {
			t.Run(fmt.Sprintf("%d entries, %s", entries, test.name), func(t *testing.T) {
				x := newExchange(entries)
				began := x.now
				x.crash(t, reporting, test.clearedUntil > 0)
				agreedAt := time.Duration(0)
				for cleared := 0; x.now.Sub(began) < settled; {
					x.step()
					elapsed := x.now.Sub(began)
					for test.clearedUntil > 0 && cleared < reporting && elapsed >= test.clearedUntil*time.Duration(cleared+1)/reporting {
						x.broadcast(cleared%entries, x.trackers[cleared%entries].Progressed(x.now, otherRun+uint64(cleared)))
						cleared++
					}
					if agreedAt == 0 && x.trackers[0].Admit(x.now, digest("request 0")).Action == Isolate {
						agreedAt = elapsed
					}
				}
				pairs := entries * (entries - 1)
				perPair := float64(x.sent) / float64(pairs)
				t.Logf("%.1f messages to each other entry; suspects may run after %v", perPair, agreedAt)
				// While parts are cleared, what others have not confirmed is sent again.
				repeats := 0.0
				if test.clearedUntil > 0 {
					repeats = float64(test.clearedUntil/DefaultConfig().Resend) + 1 + float64(reporting)/float64(entries)
				}
				require.LessOrEqual(t, perPair, messagesForReports+repeats)
				require.Positive(t, agreedAt)
				// A report, a sum, and a tick for each.
				require.LessOrEqual(t, agreedAt, 2*(exchangeDelay+exchangeTick))
			})
		}
	}
}
