package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

const (
	// LoadReportInterval is the time between two load reports of an entry, and
	// between two updates that distribute the totals. At nine tenths of the
	// capacity, entries that know less of each other make more requests late.
	LoadReportInterval = 200 * time.Millisecond
	// LoadReportTimeout is the time after which an entry's load report expires.
	LoadReportTimeout = 2 * time.Second
)

// serveLoads handles an entry's report of its requests in flight.
func (c *Control) serveLoads(_ context.Context, from string, payload []byte) ([]byte, error) {
	var loads mesh.Loads
	if err := proto.Unmarshal(payload, &loads); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelLoads, Peer: from}, fault.NotRun)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.subscribers[from]; s != nil {
		s.loads, s.loadsAt = mesh.DecodeLoads(&loads), time.Now()
	}
	return nil, nil
}

// loadTotals returns the requests in flight by upstream over all entries. The
// result is cached, so that all updates of one round share it. The caller holds
// mu.
func (c *Control) loadTotals(now time.Time) *mesh.Loads {
	if c.totals != nil && now.Sub(c.totalsAt) < LoadReportInterval/2 {
		return c.totals
	}
	total := map[string]int{}
	for _, s := range c.subscribers {
		if now.Sub(s.loadsAt) > LoadReportTimeout {
			continue
		}
		for id, n := range s.loads {
			total[id] += n
		}
	}
	c.totals, c.totalsAt = mesh.EncodeLoads(total), now
	return c.totals
}
