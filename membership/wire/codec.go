// Package wire encodes and decodes membership batches as protobuf messages.
package wire

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Encode returns the protobuf encoding of a batch.
func Encode(b membership.Batch) ([]byte, error) {
	m := &Batch{
		Incarnation: b.Incarnation, Clock: b.Clock, PeerIncarnation: b.PeerIncarnation,
		Echo: b.Echo, EchoHold: b.EchoHold, Have: b.Have, Resync: b.Resync, Stopping: b.Stopping,
		Full: b.Full, From: b.From, To: b.To, AllAge: b.AllAge,
	}
	for i := range b.Records {
		m.Records = append(m.Records, encodeRecord(&b.Records[i]))
	}
	for _, x := range b.Except {
		m.Except = append(m.Except, &SlotAge{Slot: x.Slot, AgePlusOne: uint64(max(-1, x.Age) + 1)})
	}
	for _, l := range b.Loads {
		m.Loads = append(m.Loads, &SlotLoad{Slot: l.Slot, Load: encodeLoad(l.Load)})
	}
	return proto.Marshal(m)
}

// Decode decodes a batch.
func Decode(data []byte) (membership.Batch, error) {
	m := &Batch{}
	if err := proto.Unmarshal(data, m); err != nil {
		return membership.Batch{}, fmt.Errorf("decode membership batch of %d bytes: %w", len(data), err)
	}
	b := membership.Batch{
		Incarnation: m.Incarnation, Clock: m.Clock, PeerIncarnation: m.PeerIncarnation,
		Echo: m.Echo, EchoHold: m.EchoHold, Have: m.Have, Resync: m.Resync, Stopping: m.Stopping,
		Full: m.Full, From: m.From, To: m.To, AllAge: m.AllAge,
	}
	for _, r := range m.Records {
		b.Records = append(b.Records, decodeRecord(r))
	}
	for _, x := range m.Except {
		b.Except = append(b.Except, membership.SlotAge{Slot: x.Slot, Age: int64(min(x.AgePlusOne, math.MaxInt64)) - 1})
	}
	for _, l := range m.Loads {
		b.Loads = append(b.Loads, membership.SlotLoad{Slot: l.Slot, Load: decodeLoad(l.Load)})
	}
	return b, nil
}

func encodeRecord(r *membership.Record) *Record {
	if r.Dropped {
		return &Record{Slot: r.Slot, Dropped: true}
	}
	return &Record{
		Slot: r.Slot, Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: string(r.State),
		Group: r.InForce.Group, Epoch: r.InForce.Epoch, Rank: uint32(r.InForce.Rank),
		Announcement: encodeAnnouncement(r.Announcement), Load: encodeLoad(r.Load),
	}
}

func decodeRecord(r *Record) membership.Record {
	if r.Dropped {
		return membership.Record{Slot: r.Slot, Dropped: true}
	}
	return membership.Record{
		Slot: r.Slot, ID: r.Id, Incarnation: r.Incarnation, Sequence: r.Sequence, State: membership.State(r.State),
		InForce:      membership.GroupRef{Group: r.Group, Epoch: r.Epoch, Rank: int(r.Rank)},
		Announcement: decodeAnnouncement(r.Announcement), Load: decodeLoad(r.Load),
	}
}

func encodeAnnouncement(a *membership.Announcement) *Announcement {
	if a == nil {
		return nil
	}
	m := &Announcement{
		Id: a.ID, Incarnation: a.Incarnation, Address: a.Address, FailureDomain: a.FailureDomain,
		FabricDomain: a.FabricDomain, Kind: string(a.Kind), Services: a.Services, Role: string(a.Role),
		Features: &Features{
			Fencing: a.Features.Fencing, Priorities: a.Features.Priorities, Resume: a.Features.Resume,
			Cancel: a.Features.Cancel, KvTransfer: a.Features.KVTransfer, OrderAuth: a.Features.OrderAuth, Echo: a.Features.Echo,
		},
		Accelerators: int32(a.Accelerators), MaxConcurrent: int32(a.MaxConcurrent),
		State: string(a.State), Sequence: a.Sequence,
	}
	for _, model := range a.Models {
		m.Models = append(m.Models, &Model{Name: model.Name, Version: model.Version, Adapter: model.Adapter})
	}
	return m
}

func decodeAnnouncement(m *Announcement) *membership.Announcement {
	if m == nil {
		return nil
	}
	f := m.GetFeatures()
	a := &membership.Announcement{
		ID: m.Id, Incarnation: m.Incarnation, Address: m.Address, FailureDomain: m.FailureDomain,
		FabricDomain: m.FabricDomain, Kind: membership.Kind(m.Kind), Services: m.Services, Role: membership.Role(m.Role),
		Features: membership.Features{
			Fencing: f.GetFencing(), Priorities: f.GetPriorities(), Resume: f.GetResume(),
			Cancel: f.GetCancel(), KVTransfer: f.GetKvTransfer(), OrderAuth: f.GetOrderAuth(), Echo: f.GetEcho(),
		},
		Accelerators: int(m.Accelerators), MaxConcurrent: int(m.MaxConcurrent),
		State: membership.State(m.State), Sequence: m.Sequence,
	}
	for _, model := range m.Models {
		a.Models = append(a.Models, membership.Model{Name: model.Name, Version: model.Version, Adapter: model.Adapter})
	}
	return a
}

func encodeLoad(l membership.Load) *Load {
	return &Load{
		Sequence: l.Sequence, Running: clampUint32(float64(l.Running)), Queued: clampUint32(float64(l.Queued)),
		KvUsePermille: clampUint32(l.KVUse * 1000), TokensPerSecond: clampUint32(l.TokensPerSecond),
	}
}

func decodeLoad(m *Load) membership.Load {
	return membership.Load{
		Sequence: m.GetSequence(), Running: int(m.GetRunning()), Queued: int(m.GetQueued()),
		KVUse: float64(m.GetKvUsePermille()) / 1000, TokensPerSecond: float64(m.GetTokensPerSecond()),
	}
}

// clampUint32 rounds to the nearest uint32. Reports come from other processes, so
// negative, infinite and NaN values must be handled.
func clampUint32(f float64) uint32 {
	if !(f > 0) {
		return 0
	}
	return uint32(min(math.Round(f), math.MaxUint32))
}
