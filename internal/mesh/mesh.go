// Package mesh defines the messages between entry and control instances, and
// the channels that carry them.
package mesh

import "github.com/bluebellfield/bluebellfield/fleet"

// Channels between instances.
const (
	ChannelSubscribe = "fleet.subscribe"
	ChannelUpdate    = "fleet.update"
	ChannelCatalog   = "catalog.get"
	ChannelStall     = "group.stall"
	ChannelLog       = "log.deployment"
	ChannelForward   = "forward.deployment"
)

// EncodeUpstream converts a record for an update.
func EncodeUpstream(u *fleet.Upstream) *Upstream {
	return &Upstream{
		Id: u.ID, Service: u.Service, Address: u.Address, FailureDomain: u.FailureDomain, FabricDomain: u.FabricDomain,
		Born: u.Born, Sequence: u.Sequence, Phase: uint32(u.Phase), Slots: uint32(u.Slots), Model: u.Model, Staged: u.Staged,
		Group: u.Member.Group, Epoch: u.Member.Epoch, Rank: uint32(u.Member.Rank), MemberState: uint32(u.Member.State),
	}
}

// DecodeUpstream converts a record of an update.
func DecodeUpstream(u *Upstream) fleet.Upstream {
	return fleet.Upstream{
		ID: u.Id, Service: u.Service, Address: u.Address, FailureDomain: u.FailureDomain, FabricDomain: u.FabricDomain,
		Born: u.Born, Sequence: u.Sequence, Phase: fleet.Phase(u.Phase), Slots: int(u.Slots), Model: u.Model, Staged: u.Staged,
		Member: fleet.Membership{Group: u.Group, Epoch: u.Epoch, Rank: int(u.Rank), State: fleet.MemberState(u.MemberState)},
	}
}
