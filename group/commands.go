package group

// ApplyEncoded applies an encoded command and returns the encoded result. It
// is deterministic, so every replica computes the same state and results. A
// command that cannot be decoded is rejected as Invalid.
func (s *State) ApplyEncoded(data []byte) ([]byte, error) {
	c, err := DecodeCommand(data)
	if err != nil {
		return Result{Code: Invalid, Message: err.Error()}.encode()
	}
	return s.Apply(c).encode()
}

// Apply executes one command of the log. A rejected command leaves the state
// unchanged.
func (s *State) Apply(c Command) Result {
	if c.Term < s.Term {
		return rejected(OldTerm, "command has term %d, but a command of term %d was already applied", c.Term, s.Term)
	}
	var r Result
	switch c.Kind {
	case Form:
		r = s.applyForm(c)
	case Replace:
		r = s.applyReplace(c)
	case Confirm:
		r = s.applyConfirm(c)
	case Drain:
		r = s.applyDrain(c)
	case Dissolve:
		r = s.applyDissolve(c)
	case Reclaim:
		r = s.applyReclaim(c)
	case Free:
		r = s.applyFree(c)
	case Forget:
		r = s.applyForget(c)
	default:
		r = rejected(Invalid, "unknown command kind %q", c.Kind)
	}
	if r.Code == Applied {
		s.Term = c.Term
		s.Revision++
	}
	return r
}

func (s *State) applyForm(c Command) Result {
	switch {
	case c.Group == "" || c.Service == "":
		return rejected(Invalid, "group id or service is missing")
	case s.Groups[c.Group] != nil:
		return rejected(OldEpoch, "group %s already exists", c.Group)
	case len(c.Members) == 0:
		return rejected(Invalid, "group %s has no members", c.Group)
	}
	if r := s.checkCandidates(c, c.Members[0].FabricDomain, ""); r.Code != Applied {
		return r
	}
	s.Epoch++
	g := &Group{
		ID: c.Group, Service: c.Service, Model: c.Model, FabricDomain: c.Members[0].FabricDomain,
		Epoch: s.Epoch, Phase: Loading, Cause: CauseLoading, Since: c.At,
	}
	s.Groups[g.ID] = g
	s.assignMembers(g, c.Members)
	return Result{Code: Applied, Epoch: g.Epoch}
}

// checkCandidates checks that the candidates are distinct, belong to the fabric
// domain, and are each free or already in the given group.
func (s *State) checkCandidates(c Command, fabric, group string) Result {
	seen := make(map[string]bool, len(c.Members))
	for _, m := range c.Members {
		i := s.Instances[m.ID]
		switch {
		case m.ID == "" || seen[m.ID]:
			return rejected(Invalid, "instance id %q is empty or listed twice", m.ID)
		case m.FabricDomain != fabric:
			return rejected(Invalid, "instance %s is in fabric domain %q, but the group is in %q", m.ID, m.FabricDomain, fabric)
		case i == nil:
		case i.Group != "" && i.Group != group:
			return rejected(Occupied, "instance %s is in group %s", m.ID, i.Group)
		case i.Releasing:
			return rejected(Occupied, "instance %s is being released and has not been observed free", m.ID)
		case m.Incarnation < i.Incarnation:
			return rejected(OldEpoch, "instance %s has incarnation %d, but the command names %d", m.ID, i.Incarnation, m.Incarnation)
		case i.Group == group && group != "" && !i.Fencing:
			return rejected(Occupied, "instance %s ignores fencing numbers and must be released first", m.ID)
		}
		seen[m.ID] = true
	}
	return Result{Code: Applied}
}

// assignMembers makes the candidates the members of the group at its current
// epoch.
func (s *State) assignMembers(g *Group, members []Candidate) {
	g.Members = make([]Member, 0, len(members))
	for _, m := range members {
		i := s.Instances[m.ID]
		if i == nil {
			i = &Instance{ID: m.ID}
			s.Instances[m.ID] = i
		}
		i.FabricDomain, i.Incarnation, i.Fencing = m.FabricDomain, m.Incarnation, m.Fencing
		i.Group, i.Epoch = g.ID, g.Epoch
		g.Members = append(g.Members, Member{ID: m.ID, Incarnation: m.Incarnation})
	}
}

func (s *State) applyReplace(c Command) Result {
	g, r := s.groupAtEpoch(c)
	if g == nil {
		return r
	}
	if len(c.Members) != len(g.Members) {
		return rejected(Invalid, "group %s has %d members, but the command lists %d", g.ID, len(g.Members), len(c.Members))
	}
	if len(c.Lost) == 0 && c.Gain <= 0 && c.Cause != CauseLeaving && c.Cause != CauseConflict {
		return rejected(Invalid, "group %s has no lost or leaving member and the replacement has no positive gain", g.ID)
	}
	if r := s.checkCandidates(c, g.FabricDomain, g.ID); r.Code != Applied {
		return r
	}
	s.Epoch++
	kept := make(map[string]bool, len(c.Members))
	for _, m := range c.Members {
		kept[m.ID] = true
	}
	for _, m := range g.Members {
		if !kept[m.ID] {
			s.releaseInstance(m.ID)
		}
	}
	s.recordLosses(c)
	g.Epoch, g.Phase, g.Cause, g.Since, g.Deadline = s.Epoch, Loading, c.Cause, c.At, 0
	s.assignMembers(g, c.Members)
	return Result{Code: Applied, Epoch: g.Epoch}
}

// groupAtEpoch returns the group of a command. It rejects a command whose epoch
// is not the current epoch of the group.
func (s *State) groupAtEpoch(c Command) (*Group, Result) {
	g := s.Groups[c.Group]
	switch {
	case g == nil:
		return nil, rejected(Unknown, "group %s does not exist", c.Group)
	case g.Epoch != c.Epoch:
		return nil, rejected(OldEpoch, "group %s has epoch %d, but the command names %d", c.Group, g.Epoch, c.Epoch)
	}
	return g, Result{}
}

// releaseInstance removes an instance from its group. The release is fenced
// with the current epoch of the state.
func (s *State) releaseInstance(id string) {
	i := s.Instances[id]
	i.Group, i.Releasing, i.Epoch = "", true, s.Epoch
}

// recordLosses counts a loss for each instance that the command lists as lost.
func (s *State) recordLosses(c Command) {
	for _, id := range c.Lost {
		if i := s.Instances[id]; i != nil {
			i.Losses = min(decayedLosses(i, c.At)+1, maxLosses)
			i.LostAt = c.At
		}
	}
}

func (s *State) applyConfirm(c Command) Result {
	g, r := s.groupAtEpoch(c)
	if g == nil {
		return r
	}
	if g.Phase != Loading {
		return rejected(OldEpoch, "group %s is %s, not loading", g.ID, g.Phase)
	}
	g.Phase, g.Cause, g.Since = Serving, CauseNone, c.At
	return Result{Code: Applied}
}

func (s *State) applyDrain(c Command) Result {
	g, r := s.groupAtEpoch(c)
	if g == nil {
		return r
	}
	if g.Phase == Draining {
		return rejected(OldEpoch, "group %s is already draining", g.ID)
	}
	if c.Cause != CauseLeaving && c.Gain <= 0 {
		return rejected(Invalid, "group %s has no leaving member and the drain has no positive gain", g.ID)
	}
	g.Phase, g.Cause, g.Since, g.Deadline = Draining, c.Cause, c.At, c.Deadline
	return Result{Code: Applied}
}

func (s *State) applyDissolve(c Command) Result {
	g, r := s.groupAtEpoch(c)
	if g == nil {
		return r
	}
	if g.Phase == Serving && len(c.Lost) == 0 {
		return rejected(Invalid, "group %s is serving and must be drained first", g.ID)
	}
	s.Epoch++
	for _, m := range g.Members {
		s.releaseInstance(m.ID)
	}
	s.recordLosses(c)
	delete(s.Groups, g.ID)
	return Result{Code: Applied, Epoch: s.Epoch}
}

func (s *State) applyReclaim(c Command) Result {
	id := c.Instance.ID
	i := s.Instances[id]
	if id == "" {
		return rejected(Invalid, "instance id is missing")
	}
	if i != nil && (i.Group != "" || i.Releasing) {
		return rejected(Occupied, "instance %s is in group %q or is being released", id, i.Group)
	}
	if i == nil {
		i = &Instance{ID: id}
		s.Instances[id] = i
	}
	s.Epoch++
	i.FabricDomain, i.Fencing = c.Instance.FabricDomain, c.Instance.Fencing
	i.Incarnation = max(i.Incarnation, c.Instance.Incarnation)
	s.releaseInstance(id)
	return Result{Code: Applied, Epoch: s.Epoch}
}

func (s *State) applyFree(c Command) Result {
	i := s.Instances[c.Instance.ID]
	switch {
	case i == nil:
		return rejected(Unknown, "instance %s does not exist", c.Instance.ID)
	case !i.Releasing || i.Epoch != c.Epoch:
		return rejected(OldEpoch, "no release of instance %s is pending at epoch %d", i.ID, c.Epoch)
	case c.Instance.Incarnation < i.Incarnation:
		return rejected(OldEpoch, "instance %s has incarnation %d, but the command names %d", i.ID, i.Incarnation, c.Instance.Incarnation)
	}
	i.Releasing, i.Incarnation = false, c.Instance.Incarnation
	return Result{Code: Applied}
}

func (s *State) applyForget(c Command) Result {
	i := s.Instances[c.Instance.ID]
	switch {
	case i == nil:
		return rejected(Unknown, "instance %s does not exist", c.Instance.ID)
	case i.Group != "":
		return rejected(Occupied, "instance %s is in group %s", i.ID, i.Group)
	case i.Epoch != c.Epoch:
		return rejected(OldEpoch, "instance %s has epoch %d, but the command names %d", i.ID, i.Epoch, c.Epoch)
	}
	delete(s.Instances, i.ID)
	return Result{Code: Applied}
}
