package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

func benchClaim(i int) Claim {
	c := Claim{Account: "account", Holder: Holder{"entry-12", 1700000000, "01a2b3c4-0000-7000-8000-000000000000"}, Deadline: start.Add(time.Minute), At: start}
	binary.BigEndian.PutUint64(c.Key[:], uint64(i))
	return c
}

func benchMachine() *Machine {
	l := DefaultLimits()
	l.MaxRecords = MaxRecords
	return New(func(string) Limits { return l })
}

// BenchmarkApply measures decoding and applying a claim and its completion.
func BenchmarkApply(b *testing.B) {
	m := benchMachine()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%50_000 == 0 {
			m = benchMachine()
		}
		claim := benchClaim(i)
		for _, data := range [][]byte{Encode(claim), Encode(Complete{Key: claim.Key, Holder: claim.Holder, Answer: Answer{Status: 201, Body: make([]byte, 100)}, At: start})} {
			c, err := Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			m.Apply(c)
		}
	}
}

// BenchmarkSnapshot reports the snapshot and heap bytes per record.
func BenchmarkSnapshot(b *testing.B) {
	const records = 50_000
	for name, c := range map[string]func(Claim) Command{
		"running": nil,
		"tombstone": func(c Claim) Command {
			return Complete{Key: c.Key, Holder: c.Holder, Answer: Answer{Status: 201}, At: start}
		},
		"done": func(c Claim) Command {
			return Complete{Key: c.Key, Holder: c.Holder, Answer: Answer{Status: 201}, At: start}
		},
	} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := benchMachine()
			for i := range records {
				claim := benchClaim(i)
				m.Apply(claim)
				if c != nil {
					m.Apply(c(claim))
				}
			}
			for at := start; name == "tombstone" && at.Before(start.Add(25*time.Hour)); at = at.Add(maxClockStep) {
				m.Apply(Expire{At: at})
			}
			data := m.Snapshot()
			m = benchMachine()
			if err := m.Restore(data); err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			size := 0
			for b.Loop() {
				size = len(m.Snapshot())
			}
			b.ReportMetric(float64(size)/records, "bytes/record")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "heap-bytes/record")
		})
	}
}
