// Package quarantinepb encodes the messages of package quarantine as protobuf.
package quarantinepb

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

const digestLength = len(quarantine.Digest{})

// Encode returns the protobuf form of a message.
func Encode(m quarantine.Message) ([]byte, error) {
	out := &Message{From: m.From}
	for _, e := range m.Evidence {
		digests, presences := joinAccused(e.Requests)
		out.Evidence = append(out.Evidence, &Evidence{
			Upstream: e.Target.Upstream, Incarnation: e.Target.Incarnation,
			Digests: digests, Presences: presences, Truncated: e.Truncated, Cleared: join(e.Cleared),
			Sum: e.Sum, Open: e.Open,
		})
		last := out.Evidence[len(out.Evidence)-1]
		for _, p := range e.Elsewhere {
			last.Elsewhere = append(last.Elsewhere, &Placement{Upstream: p.Upstream, Digest: p.Digest[:]})
		}
	}
	for _, v := range m.Verdicts {
		out.Verdicts = append(out.Verdicts, &Verdict{Digest: v.Digest[:], UntilUnixMillis: v.Until.UnixMilli()})
	}
	return proto.Marshal(out)
}

// Decode reads a message from its protobuf form.
func Decode(data []byte) (quarantine.Message, error) {
	in := &Message{}
	if err := proto.Unmarshal(data, in); err != nil {
		return quarantine.Message{}, fmt.Errorf("quarantine message: %w", err)
	}
	m := quarantine.Message{From: in.From}
	for _, e := range in.Evidence {
		requests, err := splitAccused(e.Digests, e.Presences)
		if err != nil {
			return quarantine.Message{}, err
		}
		cleared, err := split(e.Cleared)
		if err != nil {
			return quarantine.Message{}, err
		}
		var elsewhere []quarantine.Placement
		for _, p := range e.Elsewhere {
			if len(p.Digest) != digestLength {
				return quarantine.Message{}, digestError(p.Digest)
			}
			elsewhere = append(elsewhere, quarantine.Placement{Upstream: p.Upstream, Digest: quarantine.Digest(p.Digest)})
		}
		m.Evidence = append(m.Evidence, quarantine.Evidence{
			Target:   quarantine.Target{Upstream: e.Upstream, Incarnation: e.Incarnation},
			Requests: requests, Truncated: e.Truncated, Cleared: cleared, Elsewhere: elsewhere, Sum: e.Sum, Open: e.Open,
		})
	}
	for _, v := range in.Verdicts {
		if len(v.Digest) != digestLength {
			return quarantine.Message{}, digestError(v.Digest)
		}
		m.Verdicts = append(m.Verdicts, quarantine.Verdict{
			Digest: quarantine.Digest(v.Digest), Until: time.UnixMilli(v.UntilUnixMillis),
		})
	}
	return m, nil
}

func digestError(digest []byte) error {
	return fmt.Errorf("quarantine message: a digest has %d bytes instead of %d", len(digest), digestLength)
}

func join(digests []quarantine.Digest) []byte {
	out := make([]byte, 0, len(digests)*digestLength)
	for i := range digests {
		out = append(out, digests[i][:]...)
	}
	return out
}

func split(data []byte) ([]quarantine.Digest, error) {
	if len(data)%digestLength != 0 {
		return nil, fmt.Errorf("quarantine message: digests of %d bytes, not a multiple of %d", len(data), digestLength)
	}
	var out []quarantine.Digest
	for ; len(data) > 0; data = data[digestLength:] {
		out = append(out, quarantine.Digest(data[:digestLength]))
	}
	return out, nil
}

func joinAccused(requests []quarantine.Accused) (digests, presences []byte) {
	for _, r := range requests {
		digests = append(digests, r.Digest[:]...)
		presences = append(presences, byte(r.Presence))
	}
	return digests, presences
}

func splitAccused(data, presences []byte) ([]quarantine.Accused, error) {
	digests, err := split(data)
	if err != nil {
		return nil, err
	}
	if len(digests) != len(presences) {
		return nil, fmt.Errorf("quarantine message: %d digests with %d presences", len(digests), len(presences))
	}
	var out []quarantine.Accused
	for i, d := range digests {
		p := quarantine.Presence(presences[i])
		if p < quarantine.Lingering || p > quarantine.Isolated {
			return nil, fmt.Errorf("quarantine message: unknown presence %d", p)
		}
		out = append(out, quarantine.Accused{Digest: d, Presence: p})
	}
	return out, nil
}
