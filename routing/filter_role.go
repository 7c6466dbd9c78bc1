package routing

// roleFilter admits engines that run the requested inference phase.
type roleFilter struct{}

func (roleFilter) applies(r *Request) bool { return r.Role != "" }

// Name returns "role".
func (roleFilter) Name() string { return "role" }

// Admit implements Filter.
func (roleFilter) Admit(q *Query, u *Upstream) bool {
	switch q.Role {
	case "":
		return true
	case RoleBoth:
		return u.Role == RoleBoth || u.Role == ""
	default:
		return u.Role == q.Role || u.Role == RoleBoth || u.Role == ""
	}
}
