package share

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/admission"
)

// Guards against entries that together exceed an account limit or cannot use
// it. Seven controllers get leased limits under very unevenly distributed load.
func TestAccountLimitsAcrossEntries(t *testing.T) {
	limits := admission.Limits{RequestsPerSecond: 70, Concurrent: 20, TokensPerMinute: -1}
	c := newCluster(rand.New(rand.NewSource(1)), 7, 0)
	c.maxDelay = 5 * time.Millisecond
	var controls []*admission.Controller
	running := make([][]admission.Ticket, len(c.nodes))
	for i, n := range c.nodes {
		n.SetLimits(c.now(i), LimitsOf("a", "", limits))
		control := admission.New(admission.Options{})
		control.SetCapacity("s", admission.Capacity{Slots: 1000, Load: 0, Entries: 1, Share: 1000})
		controls = append(controls, control)
	}
	rng, admitted, most := rand.New(rand.NewSource(2)), 0, 0
	const warm, measured = 10 * time.Second, 30 * time.Second
	for c.elapsed < warm+measured {
		c.step()
		total := 0
		for i, control := range controls {
			now := c.now(i)
			rules := admission.Rules{Weight: 1, Account: c.nodes[i].LocalLimits(now, "a", "", limits), AtService: admission.Unlimited()}
			control.Update(now, "a", "s", rules)
			for k := 0; k < 20/(i+1); k++ { // 20, 10, 6, ... requests in 100 ms
				d := control.Submit(now, admission.Request{Account: "a", Service: "s", Rules: rules, Tokens: 1})
				if d.Verdict == admission.Admitted {
					running[i] = append(running[i], d.Ticket)
				}
				if d.Verdict != admission.RejectedImmediately && c.elapsed > warm {
					admitted++
				}
			}
			running[i] = append(running[i], control.Next(now, "s")...)
			total += len(running[i])
			// Requests take 200 ms on average.
			for len(running[i]) > 0 && rng.Intn(2) == 0 {
				control.Done(now, running[i][0], admission.Usage{Tokens: -1})
				running[i] = running[i][1:]
			}
			c.nodes[i].SetAccountDemand(now, "a", "", control.Offered(now, "a", ""))
		}
		if c.elapsed > warm {
			most = max(most, total)
		}
	}
	perSecond := float64(admitted) / measured.Seconds()
	t.Logf("admitted %.1f/s, at most %d at once", perSecond, most)
	require.LessOrEqual(t, perSecond, limits.RequestsPerSecond*1.05)
	require.GreaterOrEqual(t, perSecond, limits.RequestsPerSecond*0.8)
	require.LessOrEqual(t, most, limits.Concurrent)
	require.GreaterOrEqual(t, most, limits.Concurrent/2)
}
