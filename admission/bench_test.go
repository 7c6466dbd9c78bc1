package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCycle measures Submit, Next and Done of one request. In "direct" a
// slot is free for each request; in "queued" 2,000 requests are always queued.
func BenchmarkCycle(b *testing.B) {
	for _, accounts := range []int{10, 1000} {
		requests := make([]Request, accounts)
		for i := range requests {
			l := Limits{RequestsPerSecond: 1e9, Concurrent: 1e6, TokensPerMinute: 1e12}
			requests[i] = Request{Account: fmt.Sprint(i), Service: "s", Tokens: 238, ExpectedRunTime: 6 * time.Second,
				Rules: Rules{Class: Class(i % 2), Weight: 1, Account: l, AtService: l}}
		}
		for _, queued := range []int{0, 2000} {
			name := "direct"
			if queued > 0 {
				name = "queued"
			}
			b.Run(fmt.Sprintf("%s/accounts=%d", name, accounts), func(b *testing.B) {
				c := New(Options{MaxStreams: 1 << 20, Service: ServiceRules{QueueSize: 1 << 20, AccountQueueSize: 1 << 20, MaxQueue: time.Hour}})
				now := start
				for i := range queued {
					c.Submit(now, requests[i%accounts])
				}
				c.SetCapacity("s", singleEntryCapacity(100, true))
				running := c.Next(now, "s")
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					r := requests[i%accounts]
					r.Deadline = now.Add(time.Minute * 600)
					d := c.Submit(now, r)
					if d.Verdict == Admitted {
						c.Done(now, d.Ticket, Usage{Tokens: 240})
						continue
					}
					c.Done(now, running[0], Usage{Tokens: 240})
					running = append(running[1:], c.Next(now, "s")...)
				}
			})
		}
	}
}
