package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxProblems bounds the problems of one answer.
const maxProblems = 50

// AnonymousAccount is the account that callers without a known key use where
// settings permit them.
const AnonymousAccount = "anonymous"

// ChatPath is the route of model requests, which name their service in the
// body. No service can have it among its routes.
const ChatPath = "/v1/chat/completions"

// validator collects the problems of a whole tree, in order of path.
type validator struct {
	tree     *Tree
	nodes    []location
	problems []Problem
}

// validate checks what can only be seen in the whole tree. The editor has
// checked types, ranges and places.
func validate(t *Tree) []Problem {
	v := &validator{tree: t}
	for _, path := range t.Paths() {
		if l, ok := parsePath(path); ok {
			v.nodes = append(v.nodes, l)
		}
	}
	if len(t.nodes) > MaxNodes {
		v.add(Problem{Code: BadChange, Message: fmt.Sprintf("%d nodes", len(t.nodes)), Accepted: fmt.Sprintf("up to %d nodes", MaxNodes)})
		return v.problems
	}
	v.references()
	v.limits()
	v.keyHashes()
	v.routes()
	v.models()
	v.services()
	v.cycles()
	v.anonymous()
	v.shares()
	if len(v.problems) > maxProblems {
		v.problems = v.problems[:maxProblems]
	}
	return v.problems
}

func (v *validator) add(p Problem) { v.problems = append(v.problems, p) }

// at returns the locations of all nodes of some kinds.
func (v *validator) at(kinds NodeKind) []location {
	var out []location
	for _, l := range v.nodes {
		if l.kind&kinds != 0 {
			out = append(out, l)
		}
	}
	return out
}

func (v *validator) has(path string) bool { return v.tree.nodes[path] != nil }

func (v *validator) references() {
	for _, l := range v.at(NodeServiceAccount | NodeDomainService) {
		needed := []string{ServicePath(l.first), AccountPath(l.second)}
		if l.kind == NodeDomainService {
			needed = []string{DomainPath(l.first), ServicePath(l.second)}
		}
		for _, path := range needed {
			if !v.has(path) {
				v.add(Problem{Code: BadReference, Path: l.path, Message: fmt.Sprintf("%s does not exist", path), Accepted: "a path whose account, service and failure domain are nodes of the tree"})
			}
		}
	}
	for _, l := range v.at(NodeService) {
		to := v.tree.nodes[l.path][KeyFallbackService].text
		if to != "" && !v.has(ServicePath(to)) {
			v.add(Problem{Code: BadReference, Path: l.path, Key: KeyFallbackService, Message: fmt.Sprintf("service %q does not exist", to), Accepted: "the id of a service of the tree, or an empty string"})
		}
	}
}

func (v *validator) limits() {
	var keys []string
	for i := range schema {
		if schema[i].Merge == MergeLimit {
			keys = append(keys, schema[i].Name)
		}
	}
	for _, l := range v.nodes {
		for _, key := range keys {
			if own, ok := v.tree.nodes[l.path][key]; ok {
				v.limit(l, key, own)
			}
		}
	}
}

func (v *validator) limit(l location, key string, own Value) {
	for _, above := range l.chain()[1:] {
		if bound, ok := v.tree.nodes[above][key]; ok && exceeds(own, bound) {
			v.add(Problem{Code: ExceedsLimit, Path: l.path, Key: key, Message: fmt.Sprintf("%s exceeds %s of %s", limitText(own), limitText(bound), above), Accepted: "above 0 and at most " + bound.String()})
		}
	}
}

func limitText(v Value) string {
	if v.number == 0 {
		return "0 (no limit)"
	}
	return v.String()
}

func (v *validator) keyHashes() {
	owner := map[string]string{}
	for _, l := range v.at(NodeAccount) {
		for _, h := range v.tree.nodes[l.path][KeyKeyHashes].list {
			if other, taken := owner[h]; taken {
				v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyKeyHashes, Message: fmt.Sprintf("digest %s... belongs to account %q", h[:8], other), Accepted: "digests that no other account has"})
			}
			owner[h] = l.first
		}
	}
}

func (v *validator) routes() {
	owner := map[string]string{}
	for _, l := range v.at(NodeService) {
		own := v.tree.nodes[l.path]
		for _, text := range own[KeyRoutes].list {
			route, _ := ParseRoute(text)
			switch other, taken := owner[text]; {
			case taken:
				v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyRoutes, Message: fmt.Sprintf("route %q belongs to service %q", shorten(text), other), Accepted: "routes that no other service has"})
			case route.Path == ChatPath:
				v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyRoutes, Message: ChatPath + " leads to the service of the model in the request", Accepted: "any other path; models need no route"})
			}
			owner[text] = l.first
		}
		for _, text := range own[KeyNonIdempotent].list {
			if slices.Contains(own[KeyIdempotent].list, text) {
				v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyNonIdempotent, Message: fmt.Sprintf("route %q is also in %s", shorten(text), KeyIdempotent), Accepted: "each route in one of the two lists"})
			}
		}
	}
}

// models checks that a model name in a request leads to one service.
func (v *validator) models() {
	owner := map[string]string{}
	services := v.at(NodeService)
	for _, l := range services {
		if v.kind(l.first) == KindModel {
			owner[l.first] = l.first
		}
	}
	for _, l := range services {
		model := v.tree.nodes[l.path][KeyModel].text
		if model == "" || v.kind(l.first) != KindModel {
			continue
		}
		if other, taken := owner[model]; taken && other != l.first {
			v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyModel, Message: fmt.Sprintf("model %q leads to service %q", model, other), Accepted: "a name that is no other service's model or id"})
		}
		owner[model] = l.first
	}
}

func (v *validator) kind(service string) string {
	l, _ := parsePath(ServicePath(service))
	value, _ := v.tree.effective(l.chain(), schemaByName[KeyKind])
	return value.text
}

func (v *validator) services() {
	for _, l := range v.at(NodeRoot | NodeService) {
		wait, _ := v.tree.effective(l.chain(), schemaByName[KeyMaxQueueMS])
		total, _ := v.tree.effective(l.chain(), schemaByName[KeyTimeoutMS])
		if wait.number > total.number {
			v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyMaxQueueMS, Message: fmt.Sprintf("%s ms exceeds %s of %s ms", wait, KeyTimeoutMS, total), Accepted: fmt.Sprintf("at most %s", total)})
		}
	}
	for _, l := range v.at(NodeService | NodeDomainService) {
		service := l.first
		if l.kind == NodeDomainService {
			service = l.second
		}
		if size := v.tree.nodes[l.path][KeyGroupSize]; size.number > 1 && v.kind(service) != KindModel {
			v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyGroupSize, Message: fmt.Sprintf("%s instances for a plain service", size), Accepted: "1, or kind \"model\""})
		}
	}
}

// cycles follows each service's fallback.
func (v *validator) cycles() {
	for _, l := range v.at(NodeService) {
		to := v.tree.nodes[l.path][KeyFallbackService].text
		if to == "" || !v.has(ServicePath(to)) {
			continue
		}
		if v.kind(l.first) != v.kind(to) {
			v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyFallbackService, Message: fmt.Sprintf("service %q is of kind %q", to, v.kind(to)), Accepted: fmt.Sprintf("a service of kind %q", v.kind(l.first))})
		}
		if chain := v.fallbackCycle(l.first); chain != nil {
			v.add(Problem{Code: Cycle, Path: l.path, Key: KeyFallbackService, Message: "the fallbacks lead back to the service: " + strings.Join(chain, " -> "), Accepted: "a service whose fallbacks do not lead back"})
		}
	}
}

// fallbackCycle returns the fallbacks of a service when they lead back to it.
func (v *validator) fallbackCycle(service string) []string {
	chain := []string{service}
	seen := map[string]bool{}
	for at := service; !seen[at]; {
		seen[at] = true
		at = v.tree.nodes[ServicePath(at)][KeyFallbackService].text
		if at == "" {
			return nil
		}
		chain = append(chain, at)
		if at == service {
			return chain
		}
	}
	return nil
}

// anonymous checks that callers without a known key never count as paying.
func (v *validator) anonymous() {
	path := AccountPath(AnonymousAccount)
	for _, l := range v.at(NodeAccount | NodeServiceAccount) {
		if l.path != path && l.second != AnonymousAccount {
			continue
		}
		class, origin := v.tree.effective(l.chain(), schemaByName[KeyClass])
		if class.text == ClassPaying {
			v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyClass, Message: fmt.Sprintf("callers without a known key would be paying, by the value of %s", origin.Path), Accepted: `"free"`})
		}
	}
	if len(v.tree.nodes[path][KeyKeyHashes].list) > 0 {
		v.add(Problem{Code: Contradicts, Path: path, Key: KeyKeyHashes, Message: "the account of callers without a known key has keys", Accepted: "an empty list"})
	}
}

// shares checks that the failure domains' shares of the weight store's rate do
// not exceed it together.
func (v *validator) shares() {
	sum := 0.0
	for _, l := range v.at(NodeDomain) {
		sum += v.tree.nodes[l.path][KeyWeightStoreShare].number
		if sum > 100 {
			v.add(Problem{Code: Contradicts, Path: l.path, Key: KeyWeightStoreShare, Message: fmt.Sprintf("the shares of the failure domains add up to %s%%", Number(sum)), Accepted: "shares of at most 100% together"})
			return
		}
	}
}
