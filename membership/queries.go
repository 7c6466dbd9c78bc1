package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registrars returns the n live daemons with the highest rendezvous hashes for
// an upstream, in descending order.
func Registrars(upstreamID string, live []string, n int) []string {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b string) int {
		ra, rb := rendezvousHash(upstreamID, a), rendezvousHash(upstreamID, b)
		switch {
		case ra > rb:
			return -1
		case ra < rb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked[:min(n, len(ranked))]
}

func rendezvousHash(upstreamID, daemon string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstreamID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(daemon)
	return d.Sum64()
}

// grantLease returns the lease to send to an upstream.
func (r *Registry) grantLease(now time.Time, id string, avoid []string, announce bool) Lease {
	t := r.sinceBase(now)
	live := r.liveDaemons(t, avoid)
	l := Lease{
		HeartbeatMillis: int(r.cfg.Heartbeat / time.Millisecond),
		LeaseMillis:     int(r.cfg.Lease / time.Millisecond),
		Announce:        announce,
		Echo:            fmt.Sprintf(echoFormat, r.cfg.ID, r.cfg.Incarnation, millis(t)),
	}
	for _, d := range Registrars(id, live, RegistrarsPerUpstream) {
		address := r.cfg.Address
		if p := r.peers[d]; p != nil {
			address = p.Address
		}
		l.Registrars = append(l.Registrars, Registrar{ID: d, Address: address})
	}
	return l
}

// liveDaemons returns the daemons of the failure domain that may hold leases. It
// leaves out those in avoid unless no other is available.
func (r *Registry) liveDaemons(t int64, avoid []string) []string {
	var live, all []string
	add := func(id string) {
		all = append(all, id)
		if !slices.Contains(avoid, id) {
			live = append(live, id)
		}
	}
	if !r.stopping {
		add(r.cfg.ID)
	}
	for _, p := range r.orderedPeers {
		if p.class == localClass && r.isLive(p, t) && !p.stopping {
			add(p.ID)
		}
	}
	switch {
	case len(live) > 0:
		return live
	case len(all) > 0:
		return all
	}
	return []string{r.cfg.ID}
}

func (r *Registry) isLive(p *peer, t int64) bool {
	return p.receivedAt != never && t-p.receivedAt < int64(r.cfg.PeerTimeout)
}

// View returns the current set of upstreams. It returns the same View until the
// set, a description, a state or a group in force changes.
func (r *Registry) View() *View {
	if len(r.dirty) > 0 {
		r.view = r.view.apply(r.dirty)
		clear(r.dirty)
	}
	return r.view
}

// PeerStatus is the status of another daemon.
type PeerStatus struct {
	Peer
	// Live is false if no batch arrived within Config.PeerTimeout.
	Live bool
	// SinceLastBatch is the time since the last batch, or negative if there was
	// none.
	SinceLastBatch time.Duration
	Stopping       bool
	// Synced reports whether the daemon's full set of leases has been merged.
	Synced bool
	// HeldLeases is the number of upstreams whose leases the daemon holds.
	HeldLeases int
}

// Peers returns the status of the other daemons, sorted by id.
func (r *Registry) Peers(now time.Time) []PeerStatus {
	t := r.sinceBase(now)
	list := make([]PeerStatus, 0, len(r.orderedPeers))
	for _, p := range r.orderedPeers {
		s := PeerStatus{Peer: p.Peer, Live: r.isLive(p, t), SinceLastBatch: -1, Stopping: p.stopping, Synced: p.synced, HeldLeases: len(p.slots)}
		if p.receivedAt != never {
			s.SinceLastBatch = time.Duration(t - p.receivedAt)
		}
		list = append(list, s)
	}
	return list
}

// HeldLeases returns the number of leases that this daemon holds.
func (r *Registry) HeldLeases() int {
	n := 0
	for _, s := range r.slots {
		if !s.dropped {
			n++
		}
	}
	return n
}
