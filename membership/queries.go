package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registrars returns the n live daemons with the highest rendezvous hash for
// an upstream, best first.
func Registrars(upstreamID string, live []string, n int) []string {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b string) int {
		ra, rb := rank(upstreamID, a), rank(upstreamID, b)
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

func rank(upstreamID, daemon string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstreamID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(daemon)
	return d.Sum64()
}

// lease answers an upstream.
func (r *Registry) lease(now time.Time, id string, avoid []string, announce bool) Lease {
	t := r.at(now)
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

// liveDaemons lists the daemons of the failure domain that may hold leases.
func (r *Registry) liveDaemons(t int64, avoid []string) []string {
	var live, all []string
	add := func(id string) {
		all = append(all, id)
		if !slices.Contains(avoid, id) {
			live = append(live, id)
		}
	}
	if !r.stopped {
		add(r.cfg.ID)
	}
	for _, p := range r.order {
		if p.class == localPeers && r.live(p, t) && !p.stopping {
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

func (r *Registry) live(p *peer, t int64) bool {
	return p.heardAt != never && t-p.heardAt < int64(r.cfg.PeerTimeout)
}

// View returns the set of upstreams. It is a new View only when the set, a
// description or a state changed since the last call.
func (r *Registry) View() *View {
	if len(r.dirty) > 0 {
		r.view = r.view.with(r.dirty)
		clear(r.dirty)
	}
	return r.view
}

// PeerStatus is what is known of another daemon.
type PeerStatus struct {
	Peer
	// Live is false when nothing was heard within the peer timeout.
	Live bool
	// Silence is the time since the last batch, negative when there was none.
	Silence  time.Duration
	Stopping bool
	// Synced says that the upstreams that the daemon holds are known.
	Synced bool
	Held   int
}

// Peers returns the state of the other daemons by id.
func (r *Registry) Peers(now time.Time) []PeerStatus {
	t := r.at(now)
	list := make([]PeerStatus, 0, len(r.order))
	for _, p := range r.order {
		s := PeerStatus{Peer: p.Peer, Live: r.live(p, t), Silence: -1, Stopping: p.stopping, Synced: p.synced, Held: len(p.slots)}
		if p.heardAt != never {
			s.Silence = time.Duration(t - p.heardAt)
		}
		list = append(list, s)
	}
	return list
}

// Held returns the number of leases that this daemon holds.
func (r *Registry) Held() int {
	n := 0
	for _, s := range r.slots {
		if !s.dropped {
			n++
		}
	}
	return n
}
