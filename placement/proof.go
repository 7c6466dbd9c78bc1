package placement

import (
	"time"

	"github.com/bluebellfield/bluebellfield/fleet"
)

// proof is an observation which shows that the head of a group does not serve it and
// cannot serve it later. Without one, no member is used in another group, and the
// group is not dissolved. Silence is none, however long it lasts, and neither is a
// refused connection, which a partition can cause as well.
type proof uint8

const (
	noProof proof = iota
	// memberRemoved means that a member was seen outside the group, or confirmed
	// that it left, so long ago that the head has stopped by itself.
	memberRemoved
	// processEnded means that a process that started later has the address of the
	// head's current incarnation.
	processEnded
	// headElsewhere means that the head's last report does not name the group: it
	// left, joined another group or restarted.
	headElsewhere
	// headBroken means that the head reports that it has given the group up.
	headBroken
	// notOpened means that the head reports that it does not serve, and that no order
	// to open the group can still be executed.
	notOpened
)

func (p proof) String() string {
	return [...]string{"none", "member removed", "process ended", "head elsewhere", "head broken", "not opened"}[p]
}

// proofOfEnd returns the proof that the head of a group has stopped serving it, or
// noProof.
func (p *Planner) proofOfEnd(now time.Time, g *group) proof {
	if !g.memberRemovedAt.IsZero() && now.Sub(g.memberRemovedAt) > p.cfg.StallTime+stallMargin {
		return memberRemoved
	}
	head := p.engines[g.head()]
	if head == nil {
		return noProof
	}
	switch {
	case head.Replaced:
		return processEnded
	case !head.reportsGroup(g):
		return headElsewhere
	case head.Member.State == fleet.Broken:
		return headBroken
	case head.Member.State == fleet.Open || head.Member.State == fleet.Closing:
		return noProof
	case !g.openPending && now.Sub(g.openUnanswered) > maxOrderDelay:
		return notOpened
	}
	return noProof
}
