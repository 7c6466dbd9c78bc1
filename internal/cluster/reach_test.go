package cluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a daemon that serves nobody because it, and only it, is cut off from all
// upstreams, and against orders that run twice when they go through another daemon.
func TestDaemonCutOffFromUpstreams(t *testing.T) {
	t.Parallel()
	// contact is the time within which a daemon must find another way.
	const contact, requests = 3 * time.Second, 20
	c := startCluster(t, 1)
	upstreams := map[string]bool{"e1": true, "e2": true, "o1": true}
	c.addEngine("e1", "a")
	c.addEngine("e2", "b")
	p := c.addOrderService("o1", "a")
	for _, id := range c.IDs() {
		c.waitServed(id)
	}
	cut := map[string]bool{"a1": true, "a2": true, "b1": true}
	c.Network.Partition(func(from, to string) bool { return cut[from] && upstreams[to] })
	time.Sleep(contact)
	for n := range requests {
		for _, id := range c.IDs() {
			stream := c.paying.Stream(t.Context(), c.CallerURL(id), "rug-model", "rug", 5)
			require.True(t, stream.Complete, "stream %d through %s: %+v", n, id, stream)
			key := fmt.Sprint(id, n)
			order := c.paying.Call(t.Context(), http.MethodPost, c.CallerURL(id)+"/orders", key, "one piece")
			require.Equal(t, http.StatusOK, order.Status, "order %s: %+v", key, order)
		}
	}
	require.Len(t, p.Runs(), requests*len(c.IDs()))
}
