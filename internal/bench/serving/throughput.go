package serving

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

// amount is the work of one way to call and what it took.
type amount struct {
	requests  int
	wall, cpu time.Duration
}

func (a amount) perSecond(units int) float64 {
	return float64(a.requests*units) / a.wall.Seconds()
}

func (a amount) cpuPerRequest() time.Duration { return a.cpu / time.Duration(a.requests) }

// load is a kind of request.
type load struct {
	name     string
	tokens   int
	requests int
	callers  int
	direct   caller
	through  caller
	call     func(ctx context.Context, c caller) error
}

// throughput keeps a number of callers busy, in alternating rounds. The
// process holds callers, engine and daemon; the daemon's CPU time is what calls
// through it use more than direct ones.
func (r *rig) throughput(ctx context.Context, o bench.Options, result *bench.Result) error {
	rounds := bench.Pick(o, 1, 5)
	loads := []load{
		{"streams", longTokens, bench.Pick(o, 64, 512), concurrency, r.direct, r.through, func(ctx context.Context, c caller) error {
			_, err := c.stream(ctx, longTokens)
			return err
		}},
		{"paced streams", pacedTokens, pacedConcurrency, pacedConcurrency, r.pacedDirect, r.pacedThrough, func(ctx context.Context, c caller) error {
			_, err := c.stream(ctx, pacedTokens)
			return err
		}},
		{"whole answers", shortTokens, bench.Pick(o, 500, 8000), concurrency, r.direct, r.through, func(ctx context.Context, c caller) error {
			_, err := c.whole(ctx, shortTokens)
			return err
		}},
	}
	table := bench.Table{
		Title: "throughput; engine, daemon and callers in one process",
		Columns: []string{"load", "tokens", "callers", "way", "requests", "requests/s", "tokens/s", "CPU µs/request", "cores used",
			"daemon CPU µs/request", "requests/s per daemon core", "tokens/s per daemon core"},
	}
	for _, l := range loads {
		var direct, through amount
		for round := range rounds {
			o.Report("throughput, %s, round %d of %d", l.name, round+1, rounds)
			if err := l.run(ctx, l.direct, &direct); err != nil {
				return fmt.Errorf("direct call: %w", err)
			}
			if err := l.run(ctx, l.through, &through); err != nil {
				return fmt.Errorf("call through the daemon: %w", err)
			}
		}
		own := through.cpuPerRequest() - direct.cpuPerRequest()
		perCore := time.Second.Seconds() / own.Seconds()
		row := func(way string, a amount, rest ...any) {
			table.Row(append([]any{l.name, l.tokens, l.callers, way, a.requests, a.perSecond(1), a.perSecond(l.tokens),
				float64(a.cpuPerRequest().Nanoseconds()) / 1000, a.cpu.Seconds() / a.wall.Seconds()}, rest...)...)
		}
		row("direct", direct, "", "", "")
		row("through daemon", through, float64(own.Nanoseconds())/1000, perCore, perCore*float64(l.tokens))
		result.AtLeast("tokens/s through one daemon, "+l.name, through.perSecond(l.tokens), plannedTokens, "")
	}
	result.Tables = append(result.Tables, table)
	return nil
}

func (l load) run(ctx context.Context, c caller, a *amount) error {
	before, err := bench.CPUTime()
	if err != nil {
		return err
	}
	started := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(l.callers)
	for range l.requests {
		g.Go(func() error { return l.call(ctx, c) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	a.wall += time.Since(started)
	after, err := bench.CPUTime()
	a.cpu += after - before
	a.requests += l.requests
	return err
}
