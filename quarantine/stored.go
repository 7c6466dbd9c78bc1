package quarantine

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// MaxStored limits the verdicts that a log stores. At the limit, those that end
	// first are removed.
	MaxStored = 4096
	// VerdictTolerance is the difference between two ends of a verdict that is not
	// worth a log entry. Entries that reach the same verdict have different clocks.
	VerdictTolerance = time.Minute
)

// Stored is the set of verdicts that a log stores. Revision increases with each
// change.
type Stored struct {
	Revision uint64    `json:"revision"`
	Verdicts []Verdict `json:"verdicts"`
}

// MergeStored merges verdicts with those that are stored and removes the ones that
// have ended at a time in Unix milliseconds. Of two verdicts on one digest, the one
// that ends later applies. All replicas of a log must pass the same time. The
// result is ordered by digest.
func MergeStored[V any](now int64, stored, added []V, key func(V) (digest string, until int64)) []V {
	merged := map[string]V{}
	for _, v := range slices.Concat(stored, added) {
		digest, until := key(v)
		if until <= now {
			continue
		}
		if known, ok := merged[digest]; ok {
			if _, end := key(known); end >= until {
				continue
			}
		}
		merged[digest] = v
	}
	all := slices.SortedFunc(maps.Values(merged), func(a, b V) int {
		digestA, untilA := key(a)
		digestB, untilB := key(b)
		return cmp.Or(cmp.Compare(untilB, untilA), cmp.Compare(digestA, digestB))
	})
	all = all[:min(len(all), MaxStored)]
	slices.SortFunc(all, func(a, b V) int {
		digestA, _ := key(a)
		digestB, _ := key(b)
		return cmp.Compare(digestA, digestB)
	})
	return all
}

// Merge returns the set with verdicts added at the given time.
func (s Stored) Merge(now time.Time, verdicts []Verdict) Stored {
	key := func(v Verdict) (string, int64) { return string(v.Digest[:]), v.Until.UnixMilli() }
	return Stored{Revision: s.Revision + 1, Verdicts: MergeStored(now.UnixMilli(), s.Verdicts, verdicts, key)}
}

// Missing returns the verdicts that are not stored yet. The stored ones are given
// by the times at which they end.
func Missing(stored map[Digest]time.Time, verdicts []Verdict) []Verdict {
	return slices.DeleteFunc(slices.Clone(verdicts), func(v Verdict) bool { return v.Until.Sub(stored[v.Digest]) <= VerdictTolerance })
}

// Ends returns when each verdict of the set ends.
func (s Stored) Ends() map[Digest]time.Time {
	ends := make(map[Digest]time.Time, len(s.Verdicts))
	for _, v := range s.Verdicts {
		ends[v.Digest] = v.Until
	}
	return ends
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != len(d) {
		return fmt.Errorf("digest %q is not %d bytes in hexadecimal", text, len(d))
	}
	copy(d[:], data)
	return nil
}
