package settings

import "strings"

// NodeKind is the kind of a node of the tree. Kinds are bits, so that a key
// can state all kinds of node where it may stand.
type NodeKind uint8

// Kinds of node.
const (
	NodeRoot NodeKind = 1 << iota
	NodeGroups
	NodeAccount
	NodeService
	NodeServiceAccount
	NodeDomain
	NodeDomainService
)

// nodeForms lists the kinds of node with the form of their paths.
var nodeForms = []struct {
	kind NodeKind
	form string
}{
	{NodeRoot, "/"},
	{NodeGroups, "/groups"},
	{NodeAccount, "/accounts/<id>"},
	{NodeService, "/services/<id>"},
	{NodeServiceAccount, "/services/<id>/accounts/<account>"},
	{NodeDomain, "/failureDomains/<id>"},
	{NodeDomainService, "/failureDomains/<id>/services/<service>"},
}

// Forms returns the path forms of all kinds in k.
func (k NodeKind) Forms() []string {
	var forms []string
	for _, f := range nodeForms {
		if k&f.kind != 0 {
			forms = append(forms, f.form)
		}
	}
	return forms
}

// maxIDLength bounds ids in paths; they stand in log lines and metric names.
const maxIDLength = 64

const acceptedID = "an id of 1 to 64 letters, digits, '.', '_' and '-' that starts with a letter or digit"

// Paths of nodes that are not parameterised.
const (
	RootPath   = "/"
	GroupsPath = "/groups"
)

// AccountPath returns the path of an account.
func AccountPath(account string) string { return "/accounts/" + account }

// ServicePath returns the path of a service.
func ServicePath(service string) string { return "/services/" + service }

// ServiceAccountPath returns the path of an account's rules at a service.
func ServiceAccountPath(service, account string) string {
	return "/services/" + service + "/accounts/" + account
}

// DomainPath returns the path of a failure domain.
func DomainPath(domain string) string { return "/failureDomains/" + domain }

// DomainServicePath returns the path of a service's rules in a failure domain.
func DomainServicePath(domain, service string) string {
	return "/failureDomains/" + domain + "/services/" + service
}

// location is a parsed path.
type location struct {
	path string
	kind NodeKind
	// first is the id of the account, service or failure domain; second the id
	// of the account or service below it.
	first, second string
}

// parsePath returns the location of a path, and whether the path has one of
// the accepted forms.
func parsePath(path string) (location, bool) {
	l := location{path: path}
	if path == RootPath {
		l.kind = NodeRoot
		return l, true
	}
	if path == GroupsPath {
		l.kind = NodeGroups
		return l, true
	}
	parts := strings.Split(path, "/")
	if len(parts) != 3 && len(parts) != 5 || parts[0] != "" || !validID(parts[2]) {
		return l, false
	}
	l.first = parts[2]
	below := ""
	if len(parts) == 5 {
		if below, l.second = parts[3], parts[4]; !validID(l.second) {
			return l, false
		}
	}
	switch {
	case parts[1] == "accounts" && below == "":
		l.kind = NodeAccount
	case parts[1] == "services" && below == "":
		l.kind = NodeService
	case parts[1] == "services" && below == "accounts":
		l.kind = NodeServiceAccount
	case parts[1] == "failureDomains" && below == "":
		l.kind = NodeDomain
	case parts[1] == "failureDomains" && below == "services":
		l.kind = NodeDomainService
	}
	return l, l.kind != 0
}

func validID(id string) bool {
	for i := range len(id) {
		c := id[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return id != "" && len(id) <= maxIDLength
}

// chain returns the paths whose values apply to a location, the nearest first,
// which is the location itself.
// A service's own value is nearer to its rules in a failure domain than the
// value of the failure domain, which is the default of all its services.
func (l location) chain() []string {
	switch l.kind {
	case NodeGroups, NodeAccount:
		return []string{l.path, RootPath}
	case NodeService, NodeDomain:
		return []string{l.path, GroupsPath, RootPath}
	case NodeServiceAccount:
		return []string{l.path, ServicePath(l.first), AccountPath(l.second), RootPath}
	case NodeDomainService:
		return []string{l.path, ServicePath(l.second), DomainPath(l.first), GroupsPath, RootPath}
	}
	return []string{RootPath}
}

// parentPath returns the path of the node that a node cannot exist without,
// "" for none.
func parentPath(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) != 5 {
		return ""
	}
	return strings.Join(parts[:3], "/")
}

// acceptedPaths describes the accepted forms of a path.
func acceptedPaths() string {
	forms := make([]string, len(nodeForms))
	for i, f := range nodeForms {
		forms[i] = f.form
	}
	return strings.Join(forms, ", ") + " with " + acceptedID
}
