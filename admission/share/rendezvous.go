package share

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// selectOwners returns the daemons that may own limits: the live daemons with
// the lowest hashes, at most n. If a daemon fails, at most one other takes its
// place in the selection, so that few limits change their owner.
func selectOwners(live []string, n int) []string {
	out := append([]string(nil), live...)
	sort.Slice(out, func(i, j int) bool {
		a, b := xxhash.Sum64String(out[i]), xxhash.Sum64String(out[j])
		if a != b {
			return a < b
		}
		return out[i] < out[j]
	})
	if len(out) > n {
		out = out[:n]
	}
	return out
}

// weight returns the rendezvous weight of a daemon for a limit.
func weight(limit LimitID, daemonHash uint64) uint64 {
	// The splitmix64 finalizer is sufficient, as both operands are hashes.
	x := uint64(limit) ^ (daemonHash * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// owner returns the daemon with the highest weight for a limit, or an empty
// string if there are no daemons.
func owner(limit LimitID, daemons []string, hashes []uint64) string {
	best, bestWeight := "", uint64(0)
	for i, d := range daemons {
		if w := weight(limit, hashes[i]); best == "" || w > bestWeight || (w == bestWeight && d < best) {
			best, bestWeight = d, w
		}
	}
	return best
}

// rank returns the number of entries that have a higher weight for a limit than
// the given one.
func rank(limit LimitID, id string, entries []string, hashes []uint64) int {
	own, n := weight(limit, xxhash.Sum64String(id)), 0
	for i, e := range entries {
		if w := weight(limit, hashes[i]); w > own || (w == own && e < id) {
			n++
		}
	}
	return n
}

func hashAll(ids []string) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = xxhash.Sum64String(id)
	}
	return out
}
