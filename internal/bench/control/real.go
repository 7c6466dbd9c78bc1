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
	realWarmup   = 8 * time.Second
	readyTimeout = 60 * time.Second
	realVoters   = 3
	realSettings = `{"services": {"rug-model": {"kind": "model", "model": "rug-model", "groupSize": 1}}}`
)

// realUsage is the average usage of a daemon in a process with several daemons
// and their upstreams. CPU time and memory include those of the upstreams.
type realUsage struct {
	Daemons   int `json:"daemons"`
	Upstreams int `json:"upstreams"`
	// PeerRate and VoterPeerRate are the averages of the framed traffic with
	// other daemons in both directions, in bytes/s, for daemons that are not
	// voters and for voters.
	PeerRate      float64 `json:"peerBytesPerSecond"`
	VoterPeerRate float64 `json:"voterPeerBytesPerSecond"`
	CorePercent   float64 `json:"corePercent"`
	Megabytes     float64 `json:"megabytes"`
	// SimulatedPeerRate is the traffic in a simulation of the same size, which
	// does not include logs, the settings feed and shares.
	SimulatedPeerRate float64 `json:"modelPeerBytesPerSecond"`
}

// measureReal runs the daemons of one failure domain without callers.
func measureReal(ctx context.Context, seed int64, daemons, upstreams, seconds int) (u realUsage, err error) {
	folder, err := os.MkdirTemp("", "bluebellfield-control-")
	if err != nil {
		return u, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	heapBefore := heapBytes()
	c, err := cluster.Start(folder, cluster.Layout{
		Domains: []cluster.Domain{{Name: "a", Region: "r", Daemons: daemons, Voters: realVoters}}, Settings: realSettings,
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
	if err := sleep(ctx, realWarmup); err != nil {
		return u, err
	}
	bytesBefore, err := readPeerBytes(ctx, c)
	if err != nil {
		return u, err
	}
	cpuBefore, err := bench.CPUTime()
	if err != nil {
		return u, err
	}
	if err := sleep(ctx, time.Duration(seconds)*time.Second); err != nil {
		return u, err
	}
	cpuAfter, err := bench.CPUTime()
	if err != nil {
		return u, err
	}
	bytesAfter, err := readPeerBytes(ctx, c)
	if err != nil {
		return u, err
	}
	u = realUsage{Daemons: daemons, Upstreams: upstreams, CorePercent: 100 * (cpuAfter - cpuBefore).Seconds() / float64(seconds*daemons)}
	u.Megabytes = float64(heapBytes()-heapBefore) / float64(daemons) / 1e6
	for i := range bytesAfter {
		rate := (bytesAfter[i] - bytesBefore[i]) / float64(seconds)
		if i < realVoters {
			u.VoterPeerRate += rate / realVoters
		} else {
			u.PeerRate += rate / float64(daemons-realVoters)
		}
	}
	u.SimulatedPeerRate, err = simulatePeerRate(seed, daemons, upstreams, seconds)
	return u, err
}

// simulatePeerRate returns the simulated framed traffic of one daemon with other
// daemons, in bytes/s.
func simulatePeerRate(seed int64, daemons, upstreams, seconds int) (float64, error) {
	f := newFleet(seed, topology{domains: 1, daemons: daemons, upstreams: upstreams})
	if err := f.run(warmup); err != nil {
		return 0, err
	}
	f.batchTraffic = traffic{}
	if err := f.run(warmup + time.Duration(seconds)*time.Second); err != nil {
		return 0, err
	}
	return float64(f.batchTraffic.framed[sent]+f.batchTraffic.framed[received])/float64(daemons*seconds) + keepAliveBytesPerSecond(daemons-1, false), nil
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

// readPeerBytes returns the number of bytes that each daemon has exchanged with
// its peers, read from its metrics.
func readPeerBytes(ctx context.Context, c *cluster.Cluster) ([]float64, error) {
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
