package settings

import "strings"

// NodeKind is the kind of a tree node. Kinds are bit flags, so that a key can
// list every kind at which it can be set.
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

// pathForms lists the path form of each kind of node.
var pathForms = []struct {
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

// PathForms returns the path forms of all kinds in k.
func (k NodeKind) PathForms() []string {
	var forms []string
	for _, f := range pathForms {
		if k&f.kind != 0 {
			forms = append(forms, f.form)
		}
	}
	return forms
}

// maxIDLength limits the ids in paths, in bytes. They are used in log lines and
// metric names.
const maxIDLength = 64

const idFormat = "an id of 1 to 64 letters, digits, '.', '_' and '-' that starts with a letter or digit"

// Paths without parameters.
const (
	RootPath   = "/"
	GroupsPath = "/groups"
)

// AccountPath returns the path of an account.
func AccountPath(account string) string { return "/accounts/" + account }

// ServicePath returns the path of a service.
func ServicePath(service string) string { return "/services/" + service }

// ServiceAccountPath returns the path of an account's settings at a service.
func ServiceAccountPath(service, account string) string {
	return "/services/" + service + "/accounts/" + account
}

// DomainPath returns the path of a failure domain.
func DomainPath(domain string) string { return "/failureDomains/" + domain }

// DomainServicePath returns the path of a service's settings in a failure
// domain.
func DomainServicePath(domain, service string) string {
	return "/failureDomains/" + domain + "/services/" + service
}

// location is a parsed path.
type location struct {
	path string
	kind NodeKind
	// id identifies the account, service or failure domain, and childID the
	// account or service nested in it.
	id, childID string
}

// parsePath parses a path. It returns false if the path has none of the
// accepted forms.
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
	l.id = parts[2]
	childCollection := ""
	if len(parts) == 5 {
		if childCollection, l.childID = parts[3], parts[4]; !validID(l.childID) {
			return l, false
		}
	}
	switch {
	case parts[1] == "accounts" && childCollection == "":
		l.kind = NodeAccount
	case parts[1] == "services" && childCollection == "":
		l.kind = NodeService
	case parts[1] == "services" && childCollection == "accounts":
		l.kind = NodeServiceAccount
	case parts[1] == "failureDomains" && childCollection == "":
		l.kind = NodeDomain
	case parts[1] == "failureDomains" && childCollection == "services":
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

// inheritanceChain returns the paths from which a location takes its values,
// nearest first, starting with the location itself. For a service in a failure
// domain, the service comes before the failure domain, whose values are
// defaults for all services.
func (l location) inheritanceChain() []string {
	switch l.kind {
	case NodeGroups, NodeAccount:
		return []string{l.path, RootPath}
	case NodeService, NodeDomain:
		return []string{l.path, GroupsPath, RootPath}
	case NodeServiceAccount:
		return []string{l.path, ServicePath(l.id), AccountPath(l.childID), RootPath}
	case NodeDomainService:
		return []string{l.path, ServicePath(l.childID), DomainPath(l.id), GroupsPath, RootPath}
	}
	return []string{RootPath}
}

// parentPath returns the path of the node that a nested node requires, and ""
// for a node that is not nested.
func parentPath(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) != 5 {
		return ""
	}
	return strings.Join(parts[:3], "/")
}

// acceptedPaths describes the accepted path forms for error messages.
func acceptedPaths() string {
	forms := make([]string, len(pathForms))
	for i, f := range pathForms {
		forms[i] = f.form
	}
	return strings.Join(forms, ", ") + " with " + idFormat
}
