package entry

import (
	"maps"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// tellLoads tells the leader what this entry has in flight, when it changed.
// Where entries are many, each hears too rarely of an upstream by its answers.
func (e *Entry) tellLoads() {
	ticker := time.NewTicker(control.LoadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.tellLeader(now)
		}
	}
}

func (e *Entry) tellLeader(now time.Time) {
	e.mu.Lock()
	leader, loads := e.leader, e.inFlight()
	due := !maps.Equal(loads, e.told) || len(loads) > 0 && now.Sub(e.toldAt) >= control.LoadLife/2
	if leader == "" || !due {
		e.mu.Unlock()
		return
	}
	e.told, e.toldAt = loads, now
	e.mu.Unlock()
	payload, err := proto.Marshal(mesh.EncodeLoads(loads))
	if err != nil {
		e.o.Logger.Error("loads cannot be encoded", zap.Error(err))
		return
	}
	e.o.Network.Send(leader, mesh.ChannelLoads, payload)
}

// inFlight counts this entry's requests by upstream. The caller holds mu.
func (e *Entry) inFlight() map[string]int {
	loads := map[string]int{}
	for key, t := range e.targets {
		if n := t.inFlight(); n > 0 {
			loads[key.id] += n
		}
	}
	return loads
}

// shareLoads takes in what all entries have in flight. The caller holds mu.
func (e *Entry) shareLoads(now time.Time, loads []*mesh.Load) {
	total := make(map[string]int, len(loads))
	for _, l := range loads {
		total[l.Upstream] = int(l.Requests)
	}
	for key, t := range e.targets {
		t.share(now, float64(max(total[key.id]-e.told[key.id], 0)))
	}
}
