package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	realSettle   = 8 * time.Second
	readyTimeout = 60 * time.Second
	realVoters   = 3
	realTree     = `{"services": {"rug-model": {"kind": "model", "model": "rug-model", "groupSize": 1}}}`
)

// realUsage is the work of one daemon in a process with several daemons and
// their upstreams, so that it includes the upstreams' CPU time and memory.
type realUsage struct {
	Daemons   int `json:"daemons"`
	Upstreams int `json:"upstreams"`
	// Peers is the traffic between daemons, framed, in both directions:
	// of a daemon that votes in no log and of the voters on average.
	Peers  float64 `json:"peerBytesPerSecond"`
	Voters float64 `json:"voterPeerBytesPerSecond"`
	Core   float64 `json:"corePercent"`
	MB     float64 `json:"megabytes"`
	// Model is what the simulation gives for the traffic between daemons of
	// the same size, without logs, feed and shares.
	Model float64 `json:"modelPeerBytesPerSecond"`
}

// measureReal runs daemons of one failure domain without callers.
func measureReal(ctx context.Context, seed int64, daemons, upstreams, seconds int) (u realUsage, err error) {
	folder, err := os.MkdirTemp("", "bluebellfield-control-")
	if err != nil {
		return u, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	before := heapBytes()
	c, err := cluster.Start(folder, cluster.Layout{
		Domains: []cluster.Domain{{Name: "a", Region: "r", Daemons: daemons, Voters: realVoters}}, Settings: realTree,
	})
	if err != nil {
		return u, err
	}
	defer func() { _ = c.Close() }()
	if err := c.WaitReady(readyTimeout); err != nil {
		return u, err
	}
	if err := addUpstreams(c, upstreams); err != nil {
		return u, err
	}
	if err := sleep(ctx, realSettle); err != nil {
		return u, err
	}
	start, err := readBytes(ctx, c)
	if err != nil {
		return u, err
	}
	cpu, err := bench.CPUTime()
	if err != nil {
		return u, err
	}
	if err := sleep(ctx, time.Duration(seconds)*time.Second); err != nil {
		return u, err
	}
	used, err := bench.CPUTime()
	if err != nil {
		return u, err
	}
	end, err := readBytes(ctx, c)
	if err != nil {
		return u, err
	}
	u = realUsage{Daemons: daemons, Upstreams: upstreams, Core: 100 * (used - cpu).Seconds() / float64(seconds*daemons)}
	u.MB = float64(heapBytes()-before) / float64(daemons) / 1e6
	for i := range end {
		rate := (end[i] - start[i]) / float64(seconds)
		if i < realVoters {
			u.Voters += rate / realVoters
		} else {
			u.Peers += rate / float64(daemons-realVoters)
		}
	}
	u.Model, err = modelPeers(seed, daemons, upstreams, seconds)
	return u, err
}

// modelPeers is the simulated traffic between daemons.
func modelPeers(seed int64, daemons, upstreams, seconds int) (float64, error) {
	f := newFleet(seed, shape{domains: 1, daemons: daemons, upstreams: upstreams})
	if err := f.run(settleTime); err != nil {
		return 0, err
	}
	f.batches = traffic{}
	if err := f.run(settleTime + time.Duration(seconds)*time.Second); err != nil {
		return 0, err
	}
	return float64(f.batches.framed[sent]+f.batches.framed[received])/float64(daemons*seconds) + keepAliveRate(daemons-1, false), nil
}

func addUpstreams(c *cluster.Cluster, upstreams int) error {
	for i := range upstreams {
		cfg := fake.EngineConfig{}
		cfg.ID, cfg.FailureDomain, cfg.FabricDomain = fmt.Sprintf("worker-%04d", i), "a", fmt.Sprintf("rack-%d", i%9)
		cfg.Accelerators, cfg.Services = 2, []string{"rug-model"}
		cfg.Models = []membership.Model{{Name: "rug-model", Version: "3"}}
		if _, err := c.AddEngine(cfg); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readBytes returns the bytes that each daemon has exchanged with its peers.
func readBytes(ctx context.Context, c *cluster.Cluster) ([]float64, error) {
	var all []float64
	for _, id := range c.IDs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Config(id).Listen.Platform+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		var counters map[string]map[string]any
		err = json.NewDecoder(resp.Body).Decode(&counters)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		total := 0.0
		for _, name := range []string{"peer.sent_bytes", "peer.received_bytes"} {
			count, ok := counters[name]["count"].(float64)
			if !ok {
				return nil, fmt.Errorf("daemon %s has no counter %s", id, name)
			}
			total += count
		}
		all = append(all, total)
	}
	return all, nil
}
