package replica

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/consensus/wire"
)

const (
	// snapshotChunkBytes equals the size limit of a batch of entries, so that a
	// chunk delays heartbeats on the same connection no longer than a batch.
	snapshotChunkBytes = 256 << 10
	// chunkRetryInterval is the time after which a missing chunk is requested
	// again.
	chunkRetryInterval = 300 * time.Millisecond
	// transferIdleTimeout is the time after which the memory of an abandoned
	// transfer is released.
	transferIdleTimeout = 10 * time.Second
)

// snapshotState tracks the entries applied since the last snapshot, its size,
// and whether a snapshot is being written.
type snapshotState struct {
	entries, bytes int
	lastSize       int
	running        bool
	writers        sync.WaitGroup
}

// maybeTakeSnapshot starts a snapshot when the log has reached a limit. Encoding
// (for a Capturer) and writing happen on another goroutine. The byte limit is at
// least the size of the last snapshot, so that a large state is not rewritten
// for a few changes.
func (r *Replica) maybeTakeSnapshot() {
	s := &r.snapshots
	if s.running || s.entries < r.opts.SnapshotEntries && s.bytes < max(r.opts.SnapshotBytes, s.lastSize) {
		return
	}
	if r.node.Applied() < r.applied.Load() {
		// The node was rebuilt from the disk and does not have the last applied
		// entry yet.
		return
	}
	meta, err := r.node.SnapshotMeta(r.applied.Load())
	if err != nil {
		r.opts.Logger.Error("building the snapshot metadata failed", zap.Error(err))
		return
	}
	s.entries, s.bytes = 0, 0
	if r.store == nil || r.storageErr != nil {
		r.compact(meta)
		return
	}
	s.running = true
	s.writers.Add(1)
	go r.writeSnapshot(meta, r.capture())
}

// capture returns a function that encodes the current state.
func (r *Replica) capture() func() ([]byte, error) {
	if capturer, ok := r.opts.Machine.(Capturer); ok {
		return capturer.Capture()
	}
	data, err := r.opts.Machine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

func (r *Replica) writeSnapshot(meta consensus.SnapshotMeta, encode func() ([]byte, error)) {
	defer r.snapshots.writers.Done()
	data, err := encode()
	encoded := err == nil
	if err == nil {
		err = r.store.SaveSnapshot(consensus.Snapshot{Meta: meta, Data: data})
	}
	r.submitResult(func(_ time.Time, closing bool) {
		r.snapshots.running = false
		switch {
		case closing:
		case !encoded:
			r.opts.Logger.Error("encoding a snapshot failed", zap.Error(err))
		case err != nil:
			r.handleStorageFailure(err)
		default:
			r.snapshots.lastSize = len(data)
			r.compact(meta)
		}
	})
}

// compact drops the entries that the snapshot covers from the files and, except
// for the retained ones, from memory.
func (r *Replica) compact(meta consensus.SnapshotMeta) {
	if err := r.node.Compact(r.node.CompactionIndex(meta.Index, retainedEntries, retainedBytes), meta); err != nil {
		r.opts.Logger.Warn("compacting the log failed", zap.Uint64("index", meta.Index), zap.Error(err))
		return
	}
	if r.store == nil || r.storageErr != nil {
		return
	}
	if err := r.store.Compact(); err != nil {
		r.handleStorageFailure(err)
	}
}

// snapshotUpload is a snapshot that other members are fetching.
type snapshotUpload struct {
	snapshot consensus.Snapshot
	lastUsed time.Time
}

// snapshotDownload is a snapshot that is being received.
type snapshotDownload struct {
	meta        consensus.SnapshotMeta
	from        string
	data        []byte
	total       uint64
	complete    bool
	requestedAt time.Time
}

// handleSnapshotOffer handles a leader's snapshot offer: it fetches the data in
// chunks and, once they are complete, returns the message with the data.
func (r *Replica) handleSnapshotOffer(now time.Time, m consensus.Message) consensus.Message {
	if m.Snapshot.Meta.Index <= r.node.Status().Commit {
		return m
	}
	if r.download == nil || r.download.from != m.From.Instance {
		r.download = &snapshotDownload{from: m.From.Instance}
	}
	if r.download.complete {
		m.Snapshot = &consensus.Snapshot{Meta: r.download.meta, Data: r.download.data}
		return m
	}
	if now.Sub(r.download.requestedAt) >= chunkRetryInterval {
		r.requestChunk(now)
	}
	return m
}

func (r *Replica) requestChunk(now time.Time) {
	r.download.requestedAt = now
	r.sendEnvelope(r.download.from, &Envelope{Body: &Envelope_Pull{
		Pull: &SnapshotPull{Index: r.download.meta.Index, Offset: uint64(len(r.download.data))}}})
}

// handlePull sends one chunk. It keeps sending the same snapshot while the log
// still has the entries after it, even if a newer snapshot exists.
func (r *Replica) handlePull(now time.Time, from string, p *SnapshotPull) {
	if r.store == nil {
		return
	}
	if r.upload == nil || r.upload.snapshot.Meta.Index+1 < r.node.Status().FirstIndex {
		s, err := r.store.LoadSnapshot()
		if err != nil {
			r.opts.Logger.Error("reading a snapshot failed", zap.Error(err))
			return
		}
		r.upload = &snapshotUpload{snapshot: s}
	}
	r.upload.lastUsed = now
	s := r.upload.snapshot
	offset := min(p.Offset, uint64(len(s.Data)))
	if p.Index != s.Meta.Index {
		offset = 0
	}
	end := min(offset+snapshotChunkBytes, uint64(len(s.Data)))
	r.sendEnvelope(from, &Envelope{Body: &Envelope_Chunk{Chunk: &SnapshotChunk{
		Meta: wire.EncodeMeta(s.Meta), Offset: offset, Total: uint64(len(s.Data)), Data: s.Data[offset:end]}}})
}

func (r *Replica) handleChunk(now time.Time, from string, c *SnapshotChunk) {
	d := r.download
	if d == nil || d.complete || d.from != from {
		return
	}
	meta := wire.DecodeMeta(c.GetMeta())
	if meta.Index != d.meta.Index || meta.Term != d.meta.Term {
		*d = snapshotDownload{from: from, meta: meta, data: []byte{}, total: c.Total, requestedAt: now}
	}
	if c.Offset != uint64(len(d.data)) || c.Total != d.total {
		return
	}
	d.data = append(d.data, c.Data...)
	if uint64(len(d.data)) < d.total {
		r.requestChunk(now)
		return
	}
	d.complete = true
}

func (r *Replica) dropIdleTransfers(now time.Time) {
	if r.upload != nil && now.Sub(r.upload.lastUsed) > transferIdleTimeout {
		r.upload = nil
	}
	if r.download != nil && now.Sub(r.download.requestedAt) > transferIdleTimeout {
		r.download = nil
	}
}
