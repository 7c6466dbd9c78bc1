package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

var benchTime = time.Unix(1_700_000_000, 0)

// fleet returns n ready engines over five failure domains of two regions.
func fleet(n int, now time.Time) []Candidate {
	random := rand.New(rand.NewPCG(1, 1))
	var all []Candidate
	for i := range n {
		domain := i % 5
		all = append(all, Candidate{
			ID: fmt.Sprintf("engine-%04d", i), Incarnation: 1,
			FailureDomain: fmt.Sprint("d", domain), Region: fmt.Sprint("r", domain/3),
			Services: []string{"chat"}, State: Ready, Models: []Model{{Name: "m", Version: "1"}},
			MaxConcurrent: 32, Load: Load{Running: random.IntN(32), At: now.Add(-time.Second)},
		})
	}
	return all
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{65, 420, 2100} {
		for _, blocks := range []int{0, 32} {
			b.Run(fmt.Sprintf("upstreams=%d/blocks=%d", n, blocks), func(b *testing.B) {
				r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
				r.Publish(benchTime, fleet(n, benchTime))
				var prefix []uint64
				for i := range blocks {
					prefix = append(prefix, mix(uint64(i)))
				}
				for i := range 20 {
					u := r.Table().Service("chat")[i*3]
					r.Begin(benchTime, u, prefix[:blocks*(i%4+1)/4])
				}
				source := NewSource(1)
				req := &Request{Service: "chat", Model: "m", Version: "1", Prefix: prefix}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := r.Pick(benchTime, source, req); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkPickFreed measures Done, Pick and Begin at a saturated service.
func BenchmarkPickFreed(b *testing.B) {
	for _, n := range []int{65, 2100} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
			all := fleet(n, benchTime)
			for i := range all {
				all[i].Load.Running = 40
			}
			u := r.Publish(benchTime, all).Upstream(all[n-1].ID)
			r.Begin(benchTime, u, nil)
			source, req := NewSource(1), &Request{Service: "chat", Model: "m", Version: "1"}
			b.ReportAllocs()
			for b.Loop() {
				r.Done(benchTime, u, Observation{SlotFreed: true})
				choice, err := r.Pick(benchTime, source, req)
				if err != nil || !choice.Freed {
					b.Fatal(choice, err)
				}
				u = choice.Upstream
				r.Begin(benchTime, u, nil)
			}
		})
	}
}

func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{65, 2100} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
			all := fleet(n, benchTime)
			b.ReportAllocs()
			for b.Loop() {
				r.Publish(benchTime, all)
			}
		})
	}
}

// BenchmarkApply applies batches of 32 cache events, half of them evictions, to a
// full index of 65 upstreams.
func BenchmarkApply(b *testing.B) {
	x := NewPrefixIndex(PrefixConfig{})
	random := rand.New(rand.NewPCG(1, 1))
	next := make([]uint64, 65)
	batch := make([]CacheEvent, 32)
	stored := make([][]uint64, 65)
	apply := func(i int) {
		for j := range batch {
			if j%2 == 0 || len(stored[i]) == 0 {
				batch[j] = CacheEvent{BlockStored, random.Uint64()}
				stored[i] = append(stored[i], batch[j].Hash)
			} else {
				batch[j] = CacheEvent{BlockEvicted, stored[i][0]}
				stored[i] = stored[i][1:]
			}
		}
		x.Apply(benchTime, CacheEvents{Upstream: fmt.Sprint(i), Incarnation: 1, First: next[i], Events: batch})
		next[i] += 32
	}
	for i := range 65 {
		x.Apply(benchTime, CacheEvents{Upstream: fmt.Sprint(i), Incarnation: 1, First: 1, Events: nil})
		next[i] = 1
		for range 200 {
			apply(i)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		apply(i % 65)
	}
}

// BenchmarkIndexMemory reports the heap bytes per block of a full index.
func BenchmarkIndexMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		x := NewPrefixIndex(PrefixConfig{})
		hashes := make([]uint64, 64)
		random := rand.New(rand.NewPCG(1, 1))
		for x.Blocks() < 1<<18 {
			for i := range hashes {
				hashes[i] = random.Uint64()
			}
			x.RecordPrompt(benchTime, fmt.Sprint(random.IntN(200)), 1, hashes)
		}
		b.ReportMetric(float64(heap()-before)/float64(x.Blocks()), "B/block")
		b.ReportMetric(float64(x.Blocks()), "blocks")
	}
}

func BenchmarkBlockHashes(b *testing.B) {
	prompt := make([]byte, 8192)
	dst := make([]uint64, 0, DefaultMaxBlocks)
	b.ReportAllocs()
	for b.Loop() {
		dst = BlockHashes(dst[:0], "m/1/", prompt, DefaultBlockBytes, DefaultMaxBlocks)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
