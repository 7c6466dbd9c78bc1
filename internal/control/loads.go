package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

const (
	// LoadInterval is the time between two reports of an entry of what it has in
	// flight, and between two updates that pass on the sums. In the simulation of
	// 69 entries at nine tenths of the capacity, 400 ms made more requests late.
	LoadInterval = 200 * time.Millisecond
	// LoadLife is the time after which what an entry told no longer counts.
	LoadLife = 2 * time.Second
)

// serveLoads takes in what an entry has in flight.
func (c *Control) serveLoads(_ context.Context, from string, payload []byte) ([]byte, error) {
	var loads mesh.Loads
	if err := proto.Unmarshal(payload, &loads); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.At{Step: mesh.ChannelLoads, Peer: from}, fault.NotRun)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.subscribers[from]; s != nil {
		s.loads, s.loadsAt = mesh.DecodeLoads(&loads), time.Now()
	}
	return nil, nil
}

// totalLoads sums up what entries have in flight. The sums serve all updates of
// one round. The caller holds mu.
func (c *Control) totalLoads(now time.Time) *mesh.Loads {
	if c.loads != nil && now.Sub(c.loadsAt) < LoadInterval/2 {
		return c.loads
	}
	total := map[string]int{}
	for _, s := range c.subscribers {
		if now.Sub(s.loadsAt) > LoadLife {
			continue
		}
		for id, n := range s.loads {
			total[id] += n
		}
	}
	c.loads, c.loadsAt = mesh.EncodeLoads(total), now
	return c.loads
}
