// Package quarantinepb converts the messages of package quarantine to and from
// protobuf.
package quarantinepb

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

const digestLength = len(quarantine.Digest{})

// Encode returns the protobuf encoding of a message.
func Encode(m quarantine.Message) ([]byte, error) {
	out := &Message{From: m.From}
	for _, e := range m.Evidence {
		digests, presences, depths := joinRequests(e.Requests)
		out.Evidence = append(out.Evidence, &Evidence{
			Upstream: e.Target.Upstream, Incarnation: e.Target.Incarnation,
			Digests: digests, Presences: presences, Depths: depths, Truncated: e.Truncated, Cleared: joinDigests(e.Cleared),
			Sum: e.Sum, ReportSum: e.ReportSum, Open: e.Open,
		})
		encoded := out.Evidence[len(out.Evidence)-1]
		for _, p := range e.Depths {
			encoded.Parts = append(encoded.Parts, p.Digest[:]...)
			encoded.PartDepths = append(encoded.PartDepths, p.Depth)
		}
		for _, p := range e.Elsewhere {
			encoded.Elsewhere = append(encoded.Elsewhere, &Placement{Upstream: p.Upstream, Digest: p.Digest[:]})
		}
	}
	for _, v := range m.Verdicts {
		out.Verdicts = append(out.Verdicts, &Verdict{Digest: v.Digest[:], UntilUnixMillis: v.Until.UnixMilli()})
	}
	return proto.Marshal(out)
}

// Decode parses a message from its protobuf encoding.
func Decode(data []byte) (quarantine.Message, error) {
	in := &Message{}
	if err := proto.Unmarshal(data, in); err != nil {
		return quarantine.Message{}, fmt.Errorf("quarantine message: %w", err)
	}
	m := quarantine.Message{From: in.From}
	for _, e := range in.Evidence {
		requests, err := splitRequests(e.Digests, e.Presences, e.Depths)
		if err != nil {
			return quarantine.Message{}, err
		}
		cleared, err := splitDigests(e.Cleared)
		if err != nil {
			return quarantine.Message{}, err
		}
		depths, err := splitDepths(e.Parts, e.PartDepths)
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
			Requests: requests, Truncated: e.Truncated, Depths: depths, Cleared: cleared, Elsewhere: elsewhere, Sum: e.Sum, ReportSum: e.ReportSum, Open: e.Open,
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
	return fmt.Errorf("quarantine message: digest has %d bytes, want %d", len(digest), digestLength)
}

func joinDigests(digests []quarantine.Digest) []byte {
	out := make([]byte, 0, len(digests)*digestLength)
	for i := range digests {
		out = append(out, digests[i][:]...)
	}
	return out
}

func splitDigests(data []byte) ([]quarantine.Digest, error) {
	if len(data)%digestLength != 0 {
		return nil, fmt.Errorf("quarantine message: digests have %d bytes, want a multiple of %d", len(data), digestLength)
	}
	var out []quarantine.Digest
	for ; len(data) > 0; data = data[digestLength:] {
		out = append(out, quarantine.Digest(data[:digestLength]))
	}
	return out, nil
}

func joinRequests(requests []quarantine.ReportedRequest) (digests, presences, depths []byte) {
	for _, r := range requests {
		digests = append(digests, r.Digest[:]...)
		presences = append(presences, byte(r.Presence))
		depths = append(depths, r.Depth)
	}
	return digests, presences, depths
}

func splitRequests(data, presences, depths []byte) ([]quarantine.ReportedRequest, error) {
	digests, err := splitDigests(data)
	if err != nil {
		return nil, err
	}
	if len(digests) != len(presences) {
		return nil, fmt.Errorf("quarantine message: %d digests but %d presences", len(digests), len(presences))
	}
	if len(depths) == 0 {
		depths = make([]byte, len(digests))
	}
	if len(digests) != len(depths) {
		return nil, fmt.Errorf("quarantine message: %d digests but %d depths", len(digests), len(depths))
	}
	var out []quarantine.ReportedRequest
	for i, d := range digests {
		p := quarantine.Presence(presences[i])
		if p < quarantine.RecentlyEnded || p > quarantine.Isolated {
			return nil, fmt.Errorf("quarantine message: unknown presence %d", p)
		}
		out = append(out, quarantine.ReportedRequest{Digest: d, Presence: p, Depth: depths[i]})
	}
	return out, nil
}

func splitDepths(data, depths []byte) ([]quarantine.PartDepth, error) {
	parts, err := splitDigests(data)
	if err != nil {
		return nil, err
	}
	if len(parts) != len(depths) {
		return nil, fmt.Errorf("quarantine message: %d parts but %d depths", len(parts), len(depths))
	}
	var out []quarantine.PartDepth
	for i, d := range parts {
		out = append(out, quarantine.PartDepth{Digest: d, Depth: depths[i]})
	}
	return out, nil
}
