// Package serving measures what one daemon adds to a call: each call to a fake
// engine through the daemon is paired with a direct call in the same run.
package serving

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

// Experiment is the experiment "serving".
var Experiment = bench.Experiment{
	Name: "serving", Description: "Latency and throughput that one daemon adds to a direct call", Run: run,
}

const (
	service       = "model"
	pacedService  = "paced"
	key           = "key"
	readyTimeout  = 30 * time.Second
	maxConcurrent = 256
	shortTokens   = 8
	longTokens    = 256
	concurrency   = 32
	// Paced streams bring a token every 25 ms, the planned time between tokens.
	pacedTokens      = 80
	pacedDelay       = 25 * time.Millisecond
	pacedConcurrency = 200
	// plannedTokens is the planned rate of one daemon: 2 million tokens/s
	// through 400 daemons.
	plannedTokens = 2_000_000 / 400
	// maxAddedMillis is the target for the median.
	maxAddedMillis = 0.3
)

var tree = fmt.Sprintf(`{
  "accounts": {"stable": {"class": "paying", "keyHashes": [%q]}},
  "services": {
    %q: {"kind": "model", "model": %q, "groupSize": 1},
    %q: {"kind": "model", "model": %q, "groupSize": 1},
  },
}`, cluster.KeyHash(key), service, service, pacedService, pacedService)

// rig is one daemon with one engine.
type rig struct {
	cluster *cluster.Cluster
	direct  caller
	through caller
	// pacedDirect and pacedThrough call an engine that takes time for tokens.
	pacedDirect, pacedThrough caller
}

func start(folder string) (*rig, error) {
	c, err := cluster.Start(folder, cluster.Layout{
		Domains: []cluster.Domain{{Name: "a", Region: "r", Daemons: 1, Voters: 1}}, Settings: tree,
	})
	if err != nil {
		return nil, err
	}
	r := &rig{cluster: c}
	if err := r.prepare(); err != nil {
		_ = c.Close()
		return nil, err
	}
	return r, nil
}

func (r *rig) prepare() error {
	if err := r.cluster.WaitReady(readyTimeout); err != nil {
		return err
	}
	var err error
	if r.direct, r.through, err = r.addEngine(service, 0); err != nil {
		return err
	}
	r.pacedDirect, r.pacedThrough, err = r.addEngine(pacedService, pacedDelay)
	return err
}

// addEngine starts an engine for a model and waits until the daemon serves it.
func (r *rig) addEngine(model string, delay time.Duration) (direct, through caller, err error) {
	cfg := fake.EngineConfig{TokenDelay: delay}
	cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = model, "a", "a-f", 2
	cfg.Services, cfg.Models = []string{model}, []membership.Model{{Name: model}}
	cfg.MaxConcurrent = maxConcurrent
	cfg.Features.Priorities, cfg.Features.Fencing = true, true
	e, err := r.cluster.AddEngine(cfg)
	if err != nil {
		return direct, through, err
	}
	direct = newCaller("http://"+e.Announcement().Address, model)
	through = newCaller(r.cluster.CallerURL("a1"), model)
	return direct, through, cluster.WaitFor(readyTimeout, "an answer through the daemon", func() bool {
		_, err := through.stream(context.Background(), shortTokens)
		return err == nil
	})
}

func (r *rig) close() error {
	for _, c := range []caller{r.direct, r.through, r.pacedDirect, r.pacedThrough} {
		c.close()
	}
	return r.cluster.Close()
}

func run(ctx context.Context, o bench.Options) (*bench.Result, error) {
	folder, err := os.MkdirTemp("", "bluebellfield-serving-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r, err := start(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.close() }()
	result := &bench.Result{}
	if err := r.latency(ctx, o, result); err != nil {
		return nil, err
	}
	return result, r.throughput(ctx, o, result)
}

// latencies are the times of one way to call.
type latencies struct{ first, streamed, whole *bench.Latencies }

func newLatencies() latencies {
	return latencies{bench.NewLatencies(), bench.NewLatencies(), bench.NewLatencies()}
}

func (l latencies) measure(ctx context.Context, c caller) error {
	s, err := c.stream(ctx, shortTokens)
	if err != nil {
		return err
	}
	l.first.Record(s.first)
	l.streamed.Record(s.total)
	w, err := c.whole(ctx, shortTokens)
	l.whole.Record(w.total)
	return err
}

// latency alternates between direct calls and calls through the daemon, one at
// a time, so that both meet the same state of the machine.
func (r *rig) latency(ctx context.Context, o bench.Options, result *bench.Result) error {
	pairs, warm := bench.Pick(o, 300, 5000), bench.Pick(o, 50, 500)
	direct, through := newLatencies(), newLatencies()
	for i := range pairs + warm {
		if i == warm {
			direct, through = newLatencies(), newLatencies()
		}
		if i%1000 == 0 {
			o.Report("latency, pair %d of %d", i, pairs+warm)
		}
		if err := direct.measure(ctx, r.direct); err != nil {
			return fmt.Errorf("direct call: %w", err)
		}
		if err := through.measure(ctx, r.through); err != nil {
			return fmt.Errorf("call through the daemon: %w", err)
		}
	}
	table := bench.Table{
		Title:   fmt.Sprintf("latency in ms, %d alternating pairs, answers of %d tokens without generation time", pairs, shortTokens),
		Columns: []string{"time", "quantile", "direct", "through daemon", "added"},
	}
	for _, row := range []struct {
		name            string
		direct, through *bench.Latencies
	}{
		{"first token", direct.first, through.first},
		{"streamed answer", direct.streamed, through.streamed},
		{"whole answer", direct.whole, through.whole},
	} {
		for _, q := range []float64{50, 95, 99} {
			a, b := bench.Millis(row.direct.At(q)), bench.Millis(row.through.At(q))
			table.Row(row.name, fmt.Sprintf("p%g", q), a, b, b-a)
			if q == 50 && row.name != "streamed answer" {
				result.AtMost("added median, "+row.name, b-a, maxAddedMillis, " ms")
			}
		}
	}
	result.Tables = append(result.Tables, table)
	return nil
}
