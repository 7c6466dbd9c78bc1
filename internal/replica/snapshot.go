package replica

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/consensus/wire"
)

const (
	// chunkBytes keeps a piece of a snapshot as short as a batch of entries, so
	// that it delays heartbeats on the same connection as little.
	chunkBytes = 256 << 10
	// pullRetry is how long a chunk may take before it is asked for again.
	pullRetry = 300 * time.Millisecond
	// transferIdle is after how long an abandoned transfer gives its memory back.
	transferIdle = 10 * time.Second
)

// snapshotState counts what was applied since the last snapshot.
type snapshotState struct {
	entries, bytes int
	size           int
	running        bool
	wait           sync.WaitGroup
}

// takeSnapshot starts a snapshot when the log has grown enough. Encoding (for
// a Capturer) and writing happen on another goroutine. The byte limit grows
// with the snapshot, so that the state is not rewritten for every few changes.
func (r *Replica) takeSnapshot() {
	s := &r.snapshots
	if s.running || s.entries < r.o.SnapshotEntries && s.bytes < max(r.o.SnapshotBytes, s.size) {
		return
	}
	meta, err := r.node.SnapshotMeta(r.applied.Load())
	if err != nil {
		r.o.Logger.Error("snapshot cannot be described", zap.Error(err))
		return
	}
	s.entries, s.bytes = 0, 0
	if r.store == nil || r.storageErr != nil {
		r.compact(meta)
		return
	}
	s.running = true
	s.wait.Add(1)
	go r.writeSnapshot(meta, r.capture())
}

func (r *Replica) capture() func() ([]byte, error) {
	if capturer, ok := r.o.Machine.(Capturer); ok {
		return capturer.Capture()
	}
	data, err := r.o.Machine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

func (r *Replica) writeSnapshot(meta consensus.SnapshotMeta, encode func() ([]byte, error)) {
	defer r.snapshots.wait.Done()
	data, err := encode()
	saved := err == nil
	if err == nil {
		err = r.store.SaveSnapshot(consensus.Snapshot{Meta: meta, Data: data})
	}
	r.submit(func(_ time.Time, closing bool) {
		r.snapshots.running = false
		switch {
		case closing:
		case !saved:
			r.o.Logger.Error("state cannot be captured", zap.Error(err))
		case err != nil:
			r.storageFailed(err)
		default:
			r.snapshots.size = len(data)
			r.compact(meta)
		}
	})
}

// compact drops entries that the snapshot covers, from the node but for a few
// and from the files.
func (r *Replica) compact(meta consensus.SnapshotMeta) {
	if err := r.node.Compact(r.node.CompactionIndex(meta.Index, keepEntries, keepBytes), meta); err != nil {
		r.o.Logger.Warn("log was not compacted", zap.Uint64("index", meta.Index), zap.Error(err))
		return
	}
	if r.store == nil || r.storageErr != nil {
		return
	}
	if err := r.store.Compact(); err != nil {
		r.storageFailed(err)
	}
}

// sending is a snapshot that others fetch.
type sending struct {
	snapshot consensus.Snapshot
	used     time.Time
}

// fetch is a snapshot being received.
type fetch struct {
	meta  consensus.SnapshotMeta
	from  string
	data  []byte
	total uint64
	whole bool
	asked time.Time
}

// offered handles a leader's announcement of a snapshot: it fetches the data
// in chunks and completes the message when they are there.
func (r *Replica) offered(now time.Time, m consensus.Message) consensus.Message {
	if m.Snapshot.Meta.Index <= r.applied.Load() {
		return m
	}
	if r.fetch == nil || r.fetch.from != m.From.Instance {
		r.fetch = &fetch{from: m.From.Instance}
	}
	if r.fetch.whole {
		m.Snapshot = &consensus.Snapshot{Meta: r.fetch.meta, Data: r.fetch.data}
		return m
	}
	if now.Sub(r.fetch.asked) >= pullRetry {
		r.pull(now)
	}
	return m
}

func (r *Replica) pull(now time.Time) {
	r.fetch.asked = now
	r.sendEnvelope(r.fetch.from, &Envelope{Body: &Envelope_Pull{
		Pull: &SnapshotPull{Index: r.fetch.meta.Index, Offset: uint64(len(r.fetch.data))}}})
}

// handlePull sends one chunk. A snapshot stays in use while the log continues
// it, even when a newer one exists.
func (r *Replica) handlePull(now time.Time, from string, p *SnapshotPull) {
	if r.store == nil {
		return
	}
	if r.sending == nil || r.sending.snapshot.Meta.Index+1 < r.node.Status().FirstIndex {
		s, err := r.store.LoadSnapshot()
		if err != nil {
			r.o.Logger.Error("snapshot cannot be read", zap.Error(err))
			return
		}
		r.sending = &sending{snapshot: s}
	}
	r.sending.used = now
	s := r.sending.snapshot
	offset := min(p.Offset, uint64(len(s.Data)))
	if p.Index != s.Meta.Index {
		offset = 0
	}
	end := min(offset+chunkBytes, uint64(len(s.Data)))
	r.sendEnvelope(from, &Envelope{Body: &Envelope_Chunk{Chunk: &SnapshotChunk{
		Meta: wire.EncodeMeta(s.Meta), Offset: offset, Total: uint64(len(s.Data)), Data: s.Data[offset:end]}}})
}

func (r *Replica) handleChunk(now time.Time, from string, c *SnapshotChunk) {
	f := r.fetch
	if f == nil || f.whole || f.from != from {
		return
	}
	meta := wire.DecodeMeta(c.GetMeta())
	if meta.Index != f.meta.Index || meta.Term != f.meta.Term {
		*f = fetch{from: from, meta: meta, data: []byte{}, total: c.Total, asked: now}
	}
	if c.Offset != uint64(len(f.data)) || c.Total != f.total {
		return
	}
	f.data = append(f.data, c.Data...)
	if uint64(len(f.data)) < f.total {
		r.pull(now)
		return
	}
	f.whole = true
}

func (r *Replica) dropIdleTransfers(now time.Time) {
	if r.sending != nil && now.Sub(r.sending.used) > transferIdle {
		r.sending = nil
	}
	if r.fetch != nil && now.Sub(r.fetch.asked) > transferIdle {
		r.fetch = nil
	}
}
