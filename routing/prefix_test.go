package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func events(first uint64, kind CacheEventKind, hashes ...uint64) CacheEvents {
	e := CacheEvents{Upstream: "u", Incarnation: 1, First: first}
	for _, h := range hashes {
		e.Events = append(e.Events, CacheEvent{kind, h})
	}
	return e
}

// A hash must depend on the scope and on all blocks up to its own.
func TestBlockHashes(t *testing.T) {
	a := BlockHashes(nil, "m", []byte("aaaabbbbccccd"), 4, 10)
	require.Len(t, a, 3)
	require.Equal(t, a[:2], BlockHashes(nil, "m", []byte("aaaabbbbcccX"), 4, 10)[:2])
	require.Equal(t, a[:2], BlockHashes(nil, "m", []byte("aaaabbbbccccd"), 4, 2))
	require.NotEqual(t, a[1], BlockHashes(nil, "m", []byte("Xaaabbbb"), 4, 10)[1])
	require.NotEqual(t, a[0], BlockHashes(nil, "n", []byte("aaaa"), 4, 10)[0])
}

// Lost events must lower the probability of cached blocks; late events must
// restore it.
func TestGapsLowerProbability(t *testing.T) {
	x := NewPrefixIndex(PrefixConfig{UpstreamBlocks: 100})
	now := benchTime
	probability := func(hash uint64) float64 {
		n, p := x.CachedPrefix(now, "u", []uint64{hash})
		return float64(n) * p
	}
	x.Apply(now, events(1, BlockStored, 1, 2, 3))
	require.Equal(t, 1.0, probability(1))
	x.Apply(now, events(54, BlockStored, 4)) // 50 events are missing
	require.InDelta(t, 0.61, probability(1), 0.01)
	require.Equal(t, 1.0, probability(4))
	late := events(4, BlockEvicted, 2)
	for len(late.Events) < 50 {
		late.Events = append(late.Events, CacheEvent{BlockStored, 5})
	}
	x.Apply(now, late)
	require.InDelta(t, 1, probability(1), 0.01)
	require.Zero(t, probability(2))
	require.InDelta(t, 0.5, probability(5), 0.01, "a newer event may have evicted it")
	x.Apply(now, events(4, BlockEvicted, 1))
	require.InDelta(t, 1, probability(1), 0.01, "a repeated batch is ignored")
	now = now.Add(10 * time.Minute)
	require.InDelta(t, 0.5, probability(1), 0.01, "no events for one half-life")
	x.Apply(now, CacheEvents{Upstream: "u", Incarnation: 2, First: 1})
	require.Zero(t, probability(1), "a new incarnation starts empty")
	x.Apply(now, events(55, BlockStored, 1))
	require.Zero(t, probability(1), "an event of the old incarnation is ignored")
}

// A late eviction must not remove a block that was stored again since.
func TestLateEvictionDoesNotRemoveNewerBlock(t *testing.T) {
	x := NewPrefixIndex(PrefixConfig{})
	x.Apply(benchTime, events(1, BlockStored, 1))
	x.Apply(benchTime, events(3, BlockStored, 1))
	x.Apply(benchTime, events(2, BlockEvicted, 1))
	n, _ := x.CachedPrefix(benchTime, "u", []uint64{1})
	require.Equal(t, 1, n)
}

// Under any sequence of operations, the index must stay within its limits and its
// linked lists must be consistent.
func TestIndexIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewPrefixIndex(PrefixConfig{UpstreamBlocks: 5, TotalBlocks: 12})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "upstream"))
			incarnation := uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))
			hash := uint64(rapid.IntRange(1, 15).Draw(t, "hash"))
			switch rapid.IntRange(0, 3).Draw(t, "command") {
			case 0:
				x.Remove(id)
			case 1:
				x.RecordPrompt(benchTime, id, incarnation, []uint64{hash, hash + 1})
			default:
				x.Apply(benchTime, CacheEvents{
					Upstream: id, Incarnation: incarnation, First: uint64(rapid.IntRange(1, 30).Draw(t, "first")),
					Events: []CacheEvent{{BlockStored, hash}, {CacheEventKind(rapid.IntRange(0, 1).Draw(t, "kind")), hash + 1}},
				})
			}
			total := 0
			for id, slot := range x.slots {
				c := &x.caches[slot]
				count := 0
				for i := c.newest; i != nilIndex; i = x.blocks[i].older {
					if b := x.blocks[i]; b.slot != slot || x.findBlock(slot, b.hash) != i {
						t.Fatalf("block %d of %s is not in the holder list of its hash", i, id)
					}
					count++
				}
				if count != c.count || count > 5 {
					t.Fatalf("%s has %d blocks, but its count is %d", id, count, c.count)
				}
				total += count
			}
			if total != x.blockCount || total > 12 {
				t.Fatalf("the index has %d blocks, but its count is %d", total, x.blockCount)
			}
		}
	})
}

// The number of holders recorded for a block must stay within maxHolders.
func TestHoldersAreBounded(t *testing.T) {
	x := NewPrefixIndex(PrefixConfig{})
	for i := range 100 {
		x.RecordPrompt(benchTime, fmt.Sprint(i), 1, []uint64{7})
	}
	require.Equal(t, maxHolders, x.Blocks())
	var found [maxMatches]Match
	require.Equal(t, maxMatches, x.match(benchTime, []uint64{7}, 1, &found))
}
