// Package sharepb encodes the messages of package share with protobuf.
package sharepb

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// Encode returns the protobuf encoding of a message.
func Encode(m share.Message) ([]byte, error) {
	switch {
	case m.Report != nil:
		return proto.Marshal(&Message{Kind: &Message_Report{Report: encodeReport(m.Report)}})
	case m.Grant != nil:
		g := m.Grant
		return proto.Marshal(&Message{Kind: &Message_Grant{Grant: &Grant{
			Incarnation: g.Incarnation, Sequence: g.Seq, ReportIncarnation: g.ReportIncarnation, Report: g.Report,
			NeedSet: g.NeedSet, Share: g.Shares,
		}}})
	}
	return nil, fmt.Errorf("limit share message contains neither a report nor a grant")
}

func encodeReport(r *share.Report) *Report {
	out := &Report{Incarnation: r.Incarnation, Sequence: r.Seq, AckIncarnation: r.AckIncarnation, Ack: r.Ack, Digest: r.Digest, HasSet: r.HasSet}
	for _, id := range r.Set {
		out.Set = append(out.Set, uint64(id))
	}
	out.Limit = make([]uint64, len(r.Items))
	paying, free, used := make([]float32, len(r.Items)), make([]float32, len(r.Items)), make([]float32, len(r.Items))
	for i, item := range r.Items {
		out.Limit[i], paying[i], free[i], used[i] = uint64(item.Limit), item.Paying, item.Free, item.Used
	}
	out.Paying, out.Free, out.Used = omitIfZero(paying), omitIfZero(free), omitIfZero(used)
	return out
}

// omitIfZero returns nil if all values are zero, so that they are not encoded.
func omitIfZero(values []float32) []float32 {
	for _, v := range values {
		if v != 0 {
			return values
		}
	}
	return nil
}

// Decode parses a message encoded by Encode.
func Decode(data []byte) (share.Message, error) {
	var m Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return share.Message{}, fmt.Errorf("decode limit share message: %w", err)
	}
	switch kind := m.Kind.(type) {
	case *Message_Report:
		r, err := decodeReport(kind.Report)
		return share.Message{Report: r}, err
	case *Message_Grant:
		g := kind.Grant
		return share.Message{Grant: &share.Grant{
			Incarnation: g.Incarnation, Seq: g.Sequence, ReportIncarnation: g.ReportIncarnation, Report: g.Report,
			NeedSet: g.NeedSet, Shares: g.Share,
		}}, nil
	}
	return share.Message{}, fmt.Errorf("limit share message contains neither a report nor a grant")
}

func decodeReport(r *Report) (*share.Report, error) {
	out := &share.Report{Incarnation: r.Incarnation, Seq: r.Sequence, AckIncarnation: r.AckIncarnation, Ack: r.Ack, Digest: r.Digest, HasSet: r.HasSet}
	for _, id := range r.Set {
		out.Set = append(out.Set, share.LimitID(id))
	}
	out.Items = make([]share.Item, len(r.Limit))
	for i, id := range r.Limit {
		out.Items[i].Limit = share.LimitID(id)
	}
	for _, column := range []struct {
		name   string
		values []float32
		set    func(*share.Item, float32)
	}{
		{"paying", r.Paying, func(i *share.Item, v float32) { i.Paying = v }},
		{"free", r.Free, func(i *share.Item, v float32) { i.Free = v }},
		{"used", r.Used, func(i *share.Item, v float32) { i.Used = v }},
	} {
		if len(column.values) == 0 {
			continue
		}
		if len(column.values) != len(out.Items) {
			return nil, fmt.Errorf("limit share report has %d limits but %d values of %s", len(out.Items), len(column.values), column.name)
		}
		for i, v := range column.values {
			if !(v >= 0) {
				return nil, fmt.Errorf("limit share report contains invalid %s demand %v", column.name, v)
			}
			column.set(&out.Items[i], v)
		}
	}
	return out, nil
}
