// Package serving measures the latency and the CPU time that one daemon adds to
// a call. Each call to a fake engine through the daemon is paired with a direct
// call in the same run.
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

// Experiment is run by bluebellctl bench serving.
var Experiment = bench.Experiment{
	Name: "serving", Description: "Latency and throughput that one daemon adds to a direct call", Run: run,
}

const (
	service             = "model"
	pacedService        = "paced"
	callerKey           = "key"
	readyTimeout        = 30 * time.Second
	engineMaxConcurrent = 256
	shortTokens         = 8
	longTokens          = 256
	callerCount         = 32
	// Paced streams deliver a token every 25 ms, the interval in the planned
	// deployment.
	pacedTokens      = 80
	pacedTokenDelay  = 25 * time.Millisecond
	pacedCallerCount = 200
	// plannedTokensPerSecond is the planned rate of one daemon: 2 million
	// tokens/s over 400 daemons.
	plannedTokensPerSecond = 2_000_000 / 400
	// maxAddedMillis is the target for the added median latency.
	maxAddedMillis = 0.3
)

var settingsTree = fmt.Sprintf(`{
  "accounts": {"stable": {"class": "paying", "keyHashes": [%q]}},
  "services": {
    %q: {"kind": "model", "model": %q, "groupSize": 1},
    %q: {"kind": "model", "model": %q, "groupSize": 1},
  },
}`, cluster.KeyHash(callerKey), service, service, pacedService, pacedService)

// testbed is a daemon with two engines, one of which generates tokens without
// delay and the other one every pacedTokenDelay.
type testbed struct {
	cluster                     *cluster.Cluster
	direct                      caller
	viaDaemon                   caller
	pacedDirect, pacedViaDaemon caller
}

func startTestbed(folder string) (*testbed, error) {
	c, err := cluster.Start(folder, cluster.Layout{
		Domains: []cluster.Domain{{Name: "a", Region: "r", Daemons: 1, Voters: 1}}, Settings: settingsTree,
	})
	if err != nil {
		return nil, err
	}
	t := &testbed{cluster: c}
	if err := t.addEngines(); err != nil {
		_ = c.Close()
		return nil, err
	}
	return t, nil
}

func (t *testbed) addEngines() error {
	if err := t.cluster.WaitReady(readyTimeout); err != nil {
		return err
	}
	var err error
	if t.direct, t.viaDaemon, err = t.addEngine(service, 0); err != nil {
		return err
	}
	t.pacedDirect, t.pacedViaDaemon, err = t.addEngine(pacedService, pacedTokenDelay)
	return err
}

// addEngine starts an engine for a model and waits until calls through the
// daemon reach it.
func (t *testbed) addEngine(model string, delay time.Duration) (direct, viaDaemon caller, err error) {
	cfg := fake.EngineConfig{TokenDelay: delay}
	cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = model, "a", "a-f", 2
	cfg.Services, cfg.Models = []string{model}, []membership.Model{{Name: model}}
	cfg.MaxConcurrent = engineMaxConcurrent
	cfg.Features.Priorities, cfg.Features.Fencing = true, true
	e, err := t.cluster.AddEngine(cfg)
	if err != nil {
		return direct, viaDaemon, err
	}
	direct = newCaller("http://"+e.Announcement().Address, model)
	viaDaemon = newCaller(t.cluster.CallerURL("a1"), model)
	return direct, viaDaemon, cluster.WaitFor(readyTimeout, "an answer through the daemon", func() bool {
		_, err := viaDaemon.stream(context.Background(), shortTokens)
		return err == nil
	})
}

func (t *testbed) close() error {
	for _, c := range []caller{t.direct, t.viaDaemon, t.pacedDirect, t.pacedViaDaemon} {
		c.close()
	}
	return t.cluster.Close()
}

func run(ctx context.Context, o bench.Options) (*bench.Result, error) {
	folder, err := os.MkdirTemp("", "bluebellfield-serving-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	t, err := startTestbed(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = t.close() }()
	result := &bench.Result{}
	if err := t.measureLatency(ctx, o, result); err != nil {
		return nil, err
	}
	return result, t.measureThroughput(ctx, o, result)
}

// latencies holds the latencies of direct calls or of calls through the daemon.
type latencies struct{ firstToken, streamed, nonStreaming *bench.LatencyHistogram }

func newLatencies() latencies {
	return latencies{bench.NewLatencyHistogram(), bench.NewLatencyHistogram(), bench.NewLatencyHistogram()}
}

func (l latencies) measure(ctx context.Context, c caller) error {
	s, err := c.stream(ctx, shortTokens)
	if err != nil {
		return err
	}
	l.firstToken.Record(s.firstToken)
	l.streamed.Record(s.total)
	w, err := c.nonStreaming(ctx, shortTokens)
	l.nonStreaming.Record(w.total)
	return err
}

// measureLatency alternates between direct calls and calls through the daemon,
// one at a time, so that both run under the same conditions of the machine.
func (t *testbed) measureLatency(ctx context.Context, o bench.Options, result *bench.Result) error {
	pairs, warmupPairs := bench.ShortOrFull(o, 300, 5000), bench.ShortOrFull(o, 50, 500)
	direct, viaDaemon := newLatencies(), newLatencies()
	for i := range pairs + warmupPairs {
		if i == warmupPairs {
			direct, viaDaemon = newLatencies(), newLatencies()
		}
		if i%1000 == 0 {
			o.ReportProgress("latency, pair %d of %d", i, pairs+warmupPairs)
		}
		if err := direct.measure(ctx, t.direct); err != nil {
			return fmt.Errorf("direct call: %w", err)
		}
		if err := viaDaemon.measure(ctx, t.viaDaemon); err != nil {
			return fmt.Errorf("call through the daemon: %w", err)
		}
	}
	table := bench.Table{
		Title:   fmt.Sprintf("latency in ms, %d alternating pairs, answers of %d tokens without generation time", pairs, shortTokens),
		Columns: []string{"time", "quantile", "direct", "through daemon", "added"},
	}
	for _, row := range []struct {
		name              string
		direct, viaDaemon *bench.LatencyHistogram
	}{
		{"first token", direct.firstToken, viaDaemon.firstToken},
		{"streamed answer", direct.streamed, viaDaemon.streamed},
		{"whole answer", direct.nonStreaming, viaDaemon.nonStreaming},
	} {
		for _, q := range []float64{50, 95, 99} {
			a, b := bench.Milliseconds(row.direct.Quantile(q)), bench.Milliseconds(row.viaDaemon.Quantile(q))
			table.AddRow(row.name, fmt.Sprintf("p%g", q), a, b, b-a)
			if q == 50 && row.name != "streamed answer" {
				result.AtMost("added median, "+row.name, b-a, maxAddedMillis, " ms")
			}
		}
	}
	result.Tables = append(result.Tables, table)
	return nil
}
