package serving

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

// measurement is the number of completed requests with the wall time and the
// process CPU time that they took.
type measurement struct {
	requests  int
	wall, cpu time.Duration
}

func (m measurement) perSecond(units int) float64 {
	return float64(m.requests*units) / m.wall.Seconds()
}

func (m measurement) cpuPerRequest() time.Duration { return m.cpu / time.Duration(m.requests) }

// workload is a kind of request with its volume and concurrency.
type workload struct {
	name      string
	tokens    int
	requests  int
	callers   int
	direct    caller
	viaDaemon caller
	call      func(ctx context.Context, c caller) error
}

// measureThroughput runs each workload with concurrent callers, in alternating
// rounds of direct calls and calls through the daemon. Callers, engines and
// daemon share one process, so that the CPU time of the daemon is the difference
// between both.
func (t *testbed) measureThroughput(ctx context.Context, o bench.Options, result *bench.Result) error {
	rounds := bench.ShortOrFull(o, 1, 5)
	workloads := []workload{
		{"streams", longTokens, bench.ShortOrFull(o, 64, 512), callerCount, t.direct, t.viaDaemon, func(ctx context.Context, c caller) error {
			_, err := c.stream(ctx, longTokens)
			return err
		}},
		{"paced streams", pacedTokens, pacedCallerCount, pacedCallerCount, t.pacedDirect, t.pacedViaDaemon, func(ctx context.Context, c caller) error {
			_, err := c.stream(ctx, pacedTokens)
			return err
		}},
		{"whole answers", shortTokens, bench.ShortOrFull(o, 500, 8000), callerCount, t.direct, t.viaDaemon, func(ctx context.Context, c caller) error {
			_, err := c.nonStreaming(ctx, shortTokens)
			return err
		}},
	}
	table := bench.Table{
		Title: "throughput; engine, daemon and callers in one process",
		Columns: []string{"load", "tokens", "callers", "way", "requests", "requests/s", "tokens/s", "CPU µs/request", "cores used",
			"daemon CPU µs/request", "requests/s per daemon core", "tokens/s per daemon core"},
	}
	for _, w := range workloads {
		var direct, viaDaemon measurement
		for round := range rounds {
			o.ReportProgress("throughput, %s, round %d of %d", w.name, round+1, rounds)
			if err := w.run(ctx, w.direct, &direct); err != nil {
				return fmt.Errorf("direct call: %w", err)
			}
			if err := w.run(ctx, w.viaDaemon, &viaDaemon); err != nil {
				return fmt.Errorf("call through the daemon: %w", err)
			}
		}
		daemonCPU := viaDaemon.cpuPerRequest() - direct.cpuPerRequest()
		requestsPerCore := time.Second.Seconds() / daemonCPU.Seconds()
		row := func(way string, m measurement, rest ...any) {
			table.AddRow(append([]any{w.name, w.tokens, w.callers, way, m.requests, m.perSecond(1), m.perSecond(w.tokens),
				float64(m.cpuPerRequest().Nanoseconds()) / 1000, m.cpu.Seconds() / m.wall.Seconds()}, rest...)...)
		}
		row("direct", direct, "", "", "")
		row("through daemon", viaDaemon, float64(daemonCPU.Nanoseconds())/1000, requestsPerCore, requestsPerCore*float64(w.tokens))
		result.AtLeast("tokens/s through one daemon, "+w.name, viaDaemon.perSecond(w.tokens), plannedTokensPerSecond, "")
	}
	result.Tables = append(result.Tables, table)
	return nil
}

func (w workload) run(ctx context.Context, c caller, m *measurement) error {
	before, err := bench.CPUTime()
	if err != nil {
		return err
	}
	started := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(w.callers)
	for range w.requests {
		g.Go(func() error { return w.call(ctx, c) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	m.wall += time.Since(started)
	after, err := bench.CPUTime()
	m.cpu += after - before
	m.requests += w.requests
	return err
}
