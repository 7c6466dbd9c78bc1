package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

const orderSeed = 20260301

// orderCluster runs a plain service with two upstreams that executes orders.
type orderCluster struct {
	*testCluster
	services []*fake.PlainService

	mu        sync.Mutex
	responses map[string][]Response
}

func startOrders(t *testing.T) *orderCluster {
	tree := strings.Replace(settingsTree(1), `"routes"`, `"timeoutMs": 6000, "maxQueueMs": 3000, "routes"`, 1)
	c := &orderCluster{testCluster: startClusterWith(t, DefaultLayout(tree)), responses: map[string][]Response{}}
	for _, domain := range []string{"a", "c"} {
		cfg := fake.PlainServiceConfig{WorkTime: 200 * time.Millisecond}
		cfg.ID, cfg.FailureDomain, cfg.Services = "orders-"+domain, domain, []string{"orders"}
		p, err := c.AddPlainService(cfg)
		require.NoError(t, err)
		c.services = append(c.services, p)
	}
	for _, id := range c.IDs() {
		c.eventually("an order through "+id, func() bool { return c.send(id, "warm-"+id).Status == http.StatusOK })
	}
	return c
}

// send sends the order of a key through an entry and records the response.
func (c *orderCluster) send(entry, key string) Response {
	r := c.paying.Call(context.Background(), http.MethodPost, c.CallerURL(entry)+"/orders", key, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[key] = append(c.responses[key], r)
	return r
}

// runRequestIDs returns the request ids of all runs of a key's order.
func (c *orderCluster) runRequestIDs(key string) []string {
	var ids []string
	for _, p := range c.services {
		for _, r := range p.Runs() {
			if r.Body == key {
				ids = append(ids, r.RequestID)
			}
		}
	}
	return ids
}

func (c *orderCluster) runningClaims() int {
	return c.Daemon(c.leader("global")).ClaimStats().Running
}

// sendAndActAt sends the order of a key through an entry and calls action when the
// order is at a step. The returned group waits until the order is answered.
func (c *orderCluster) sendAndActAt(step, entry, key string, action func()) *sync.WaitGroup {
	c.t.Helper()
	var sent sync.WaitGroup
	sendOrder := func() { sent.Go(func() { c.send(entry, key) }) }
	switch step {
	case "before the claim":
		sendOrder()
		action()
	case "after the claim":
		c.eventually("no running claim", func() bool { return c.runningClaims() == 0 })
		for _, p := range c.services {
			p.SetFaults(fake.Faults{Delay: 300 * time.Millisecond})
		}
		sendOrder()
		c.eventually("the claim", func() bool { return c.runningClaims() == 1 })
		action()
		for _, p := range c.services {
			p.SetFaults(fake.Faults{})
		}
	case "during the run":
		sendOrder()
		c.eventually("the run", func() bool { return len(c.runRequestIDs(key)) > 0 })
		action()
	case "after the run":
		sendOrder()
		c.eventually("the end of the run", func() bool {
			return len(c.runRequestIDs(key)) > 0 && c.services[0].Running()+c.services[1].Running() == 0
		})
		action()
	}
	return &sent
}

// checkOrder requires that an order ran at most once and that each response agrees
// with its runs and with the final response.
func (c *orderCluster) checkOrder(key string, final Response) {
	c.t.Helper()
	runs := c.runRequestIDs(key)
	require.LessOrEqual(c.t, len(runs), 1, "the order ran more than once")
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.responses[key] {
		if r.Err == nil && r.Outcome == fault.NotRun {
			require.NotContains(c.t, runs, r.RequestID, "outcome not-run for an order that ran: %s", r.Body)
		}
		if r.Status == http.StatusOK && r.Complete {
			require.Len(c.t, runs, 1, "successful response to an order that did not run exactly once")
			require.Equal(c.t, http.StatusOK, final.Status, "the response was lost after a caller received it: %s", final.Body)
			require.Equal(c.t, final.Body, r.Body)
		}
	}
}

// Guards against an order that runs twice, an outcome not-run for one that ran, and
// a resend without a final response. At each step of an order, its entry or the
// leader of the global log is killed, or the entry's failure domain is partitioned.
func TestOrdersUnderFailure(t *testing.T) {
	t.Parallel()
	steps := []string{"before the claim", "after the claim", "during the run", "after the run"}
	for i, action := range []string{"kill the entry", "kill the global leader", "partition the failure domain"} {
		t.Run(action, func(t *testing.T) {
			t.Parallel()
			c := startOrders(t)
			random := rand.New(rand.NewPCG(orderSeed, uint64(i)))
			for n, step := range steps {
				entry := c.IDs()[random.IntN(len(c.IDs()))]
				second := c.otherIDs(entry)[random.IntN(len(c.IDs())-1)]
				key := fmt.Sprint("order-", n)
				t.Logf("%s: first through %s, then %s", step, entry, second)
				var victim string
				sent := c.sendAndActAt(step, entry, key, func() {
					switch action {
					case "kill the entry":
						victim = entry
						require.NoError(t, c.KillDaemon(victim))
					case "kill the global leader":
						victim = c.leader("global")
						require.NoError(t, c.KillDaemon(victim))
					default:
						c.PartitionDomain(c.Config(entry).FailureDomain)
					}
				})
				c.send(second, key)
				c.send(entry, key)
				c.PartitionDomain("")
				if victim != "" {
					c.restart(victim)
				}
				sent.Wait()
				var final Response
				c.eventually("a final response to "+key, func() bool {
					final = c.send(second, key)
					return final.Status == http.StatusOK || final.Outcome == fault.Unknown && strings.Contains(final.Body, string(fault.OutcomeLost))
				})
				c.checkOrder(key, final)
			}
		})
	}
}
