package group

// ApplyEncoded applies an encoded command and returns the encoded result. It
// is deterministic: the same commands in the same order give the same bytes.
func (s *State) ApplyEncoded(data []byte) ([]byte, error) {
	c, err := DecodeCommand(data)
	if err != nil {
		return Result{Code: Invalid, Message: err.Error()}.encode()
	}
	return s.Apply(c).encode()
}

// Apply executes one command of the log. A refused command changes nothing.
func (s *State) Apply(c Command) Result {
	if c.Term < s.Term {
		return refuse(OldTerm, "command of term %d, the state has term %d", c.Term, s.Term)
	}
	var r Result
	switch c.Kind {
	case Form:
		r = s.form(c)
	case Replace:
		r = s.replace(c)
	case Confirm:
		r = s.confirm(c)
	case Drain:
		r = s.drain(c)
	case Dissolve:
		r = s.dissolve(c)
	case Reclaim:
		r = s.reclaim(c)
	case Free:
		r = s.free(c)
	case Forget:
		r = s.forget(c)
	default:
		r = refuse(Invalid, "unknown kind %q", c.Kind)
	}
	if r.Code == Applied {
		s.Term = c.Term
		s.Revision++
	}
	return r
}

func (s *State) form(c Command) Result {
	switch {
	case c.Group == "" || c.Service == "":
		return refuse(Invalid, "a group needs an id and a service")
	case s.Groups[c.Group] != nil:
		return refuse(OldEpoch, "group %s exists", c.Group)
	case len(c.Members) == 0:
		return refuse(Invalid, "group %s has no members", c.Group)
	}
	if r := s.admit(c, c.Members[0].FabricDomain, ""); r.Code != Applied {
		return r
	}
	s.Epoch++
	g := &Group{
		ID: c.Group, Service: c.Service, Model: c.Model, FabricDomain: c.Members[0].FabricDomain,
		Epoch: s.Epoch, Phase: Loading, Cause: CauseLoading, Since: c.At,
	}
	s.Groups[g.ID] = g
	s.join(g, c.Members)
	return Result{Code: Applied, Epoch: g.Epoch}
}

// admit checks that every candidate is free, or already in the group given.
func (s *State) admit(c Command, fabric, group string) Result {
	seen := make(map[string]bool, len(c.Members))
	for _, m := range c.Members {
		i := s.Instances[m.ID]
		switch {
		case m.ID == "" || seen[m.ID]:
			return refuse(Invalid, "instance %q is named twice or has no id", m.ID)
		case m.FabricDomain != fabric:
			return refuse(Invalid, "instance %s is in fabric domain %q, the group in %q", m.ID, m.FabricDomain, fabric)
		case i == nil:
		case i.Group != "" && i.Group != group:
			return refuse(Occupied, "instance %s is in group %s", m.ID, i.Group)
		case i.Releasing:
			return refuse(Occupied, "instance %s is not observed free", m.ID)
		case m.Incarnation < i.Incarnation:
			return refuse(OldEpoch, "instance %s has incarnation %d, not %d", m.ID, i.Incarnation, m.Incarnation)
		case i.Group == group && group != "" && !i.Fencing:
			return refuse(Occupied, "instance %s ignores fencing numbers and must be released first", m.ID)
		}
		seen[m.ID] = true
	}
	return Result{Code: Applied}
}

// join makes the candidates the members of a group at its epoch.
func (s *State) join(g *Group, members []Candidate) {
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

func (s *State) replace(c Command) Result {
	g, r := s.group(c)
	if g == nil {
		return r
	}
	if len(c.Members) != len(g.Members) {
		return refuse(Invalid, "group %s has %d members, not %d", g.ID, len(g.Members), len(c.Members))
	}
	if len(c.Lost) == 0 && c.Gain <= 0 && c.Cause != CauseLeaving && c.Cause != CauseConflict {
		return refuse(Invalid, "group %s would be changed without a lost or leaving member and without gain", g.ID)
	}
	if r := s.admit(c, g.FabricDomain, g.ID); r.Code != Applied {
		return r
	}
	s.Epoch++
	kept := make(map[string]bool, len(c.Members))
	for _, m := range c.Members {
		kept[m.ID] = true
	}
	for _, m := range g.Members {
		if !kept[m.ID] {
			s.release(m.ID)
		}
	}
	s.lose(c)
	g.Epoch, g.Phase, g.Cause, g.Since, g.Deadline = s.Epoch, Loading, c.Cause, c.At, 0
	s.join(g, c.Members)
	return Result{Code: Applied, Epoch: g.Epoch}
}

// group finds the group of a command at the epoch that the leader saw.
func (s *State) group(c Command) (*Group, Result) {
	g := s.Groups[c.Group]
	switch {
	case g == nil:
		return nil, refuse(Unknown, "group %s does not exist", c.Group)
	case g.Epoch != c.Epoch:
		return nil, refuse(OldEpoch, "group %s has epoch %d, not %d", c.Group, g.Epoch, c.Epoch)
	}
	return g, Result{}
}

// release takes an instance out of its group; its epoch is that of the intent.
func (s *State) release(id string) {
	i := s.Instances[id]
	i.Group, i.Releasing, i.Epoch = "", true, s.Epoch
}

func (s *State) lose(c Command) {
	for _, id := range c.Lost {
		if i := s.Instances[id]; i != nil {
			i.Losses = min(decayedLosses(i, c.At)+1, maxLosses)
			i.LostAt = c.At
		}
	}
}

func (s *State) confirm(c Command) Result {
	g, r := s.group(c)
	if g == nil {
		return r
	}
	if g.Phase != Loading {
		return refuse(OldEpoch, "group %s is %s", g.ID, g.Phase)
	}
	g.Phase, g.Cause, g.Since = Serving, CauseNone, c.At
	return Result{Code: Applied}
}

func (s *State) drain(c Command) Result {
	g, r := s.group(c)
	if g == nil {
		return r
	}
	if g.Phase == Draining {
		return refuse(OldEpoch, "group %s drains already", g.ID)
	}
	if c.Cause != CauseLeaving && c.Gain <= 0 {
		return refuse(Invalid, "group %s would be drained without a leaving member and without gain", g.ID)
	}
	g.Phase, g.Cause, g.Since, g.Deadline = Draining, c.Cause, c.At, c.Deadline
	return Result{Code: Applied}
}

func (s *State) dissolve(c Command) Result {
	g, r := s.group(c)
	if g == nil {
		return r
	}
	if g.Phase == Serving && len(c.Lost) == 0 {
		return refuse(Invalid, "group %s serves and must be drained first", g.ID)
	}
	s.Epoch++
	for _, m := range g.Members {
		s.release(m.ID)
	}
	s.lose(c)
	delete(s.Groups, g.ID)
	return Result{Code: Applied, Epoch: s.Epoch}
}

func (s *State) reclaim(c Command) Result {
	id := c.Instance.ID
	i := s.Instances[id]
	if id == "" {
		return refuse(Invalid, "no instance is named")
	}
	if i != nil && (i.Group != "" || i.Releasing) {
		return refuse(Occupied, "instance %s is in group %q or being released", id, i.Group)
	}
	if i == nil {
		i = &Instance{ID: id}
		s.Instances[id] = i
	}
	s.Epoch++
	i.FabricDomain, i.Fencing = c.Instance.FabricDomain, c.Instance.Fencing
	i.Incarnation = max(i.Incarnation, c.Instance.Incarnation)
	s.release(id)
	return Result{Code: Applied, Epoch: s.Epoch}
}

func (s *State) free(c Command) Result {
	i := s.Instances[c.Instance.ID]
	switch {
	case i == nil:
		return refuse(Unknown, "instance %s is unknown", c.Instance.ID)
	case !i.Releasing || i.Epoch != c.Epoch:
		return refuse(OldEpoch, "instance %s is not being released at epoch %d", i.ID, c.Epoch)
	case c.Instance.Incarnation < i.Incarnation:
		return refuse(OldEpoch, "instance %s has incarnation %d, not %d", i.ID, i.Incarnation, c.Instance.Incarnation)
	}
	i.Releasing, i.Incarnation = false, c.Instance.Incarnation
	return Result{Code: Applied}
}

func (s *State) forget(c Command) Result {
	i := s.Instances[c.Instance.ID]
	switch {
	case i == nil:
		return refuse(Unknown, "instance %s is unknown", c.Instance.ID)
	case i.Group != "":
		return refuse(Occupied, "instance %s is in group %s", i.ID, i.Group)
	case i.Epoch != c.Epoch:
		return refuse(OldEpoch, "instance %s has epoch %d, not %d", i.ID, i.Epoch, c.Epoch)
	}
	delete(s.Instances, i.ID)
	return Result{Code: Applied}
}
