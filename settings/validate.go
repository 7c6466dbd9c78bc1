package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxProblems limits the problems reported for one change.
const maxProblems = 50

// AnonymousAccount is the account of callers without a known key, if the
// settings allow such callers.
const AnonymousAccount = "anonymous"

// ChatPath is the route of model requests. The model named in the request body
// selects the service, so no service can list this route.
const ChatPath = "/v1/chat/completions"

// validator validates a whole tree and collects its problems.
type validator struct {
	tree     *Tree
	nodes    []location
	problems []Problem
}

// validate checks the constraints between settings. The editor has already
// checked the type, range and node kind of each setting.
func validate(t *Tree) []Problem {
	v := &validator{tree: t}
	for _, path := range t.Paths() {
		if l, ok := parsePath(path); ok {
			v.nodes = append(v.nodes, l)
		}
	}
	if len(t.nodes) > MaxNodes {
		v.addProblem(Problem{Code: BadChange, Message: fmt.Sprintf("%d nodes", len(t.nodes)), Accepted: fmt.Sprintf("up to %d nodes", MaxNodes)})
		return v.problems
	}
	v.checkReferences()
	v.checkLimits()
	v.checkKeyHashes()
	v.checkRoutes()
	v.checkModelNames()
	v.checkServices()
	v.checkFallbacks()
	v.checkAnonymousAccount()
	v.checkWeightStoreShares()
	if len(v.problems) > maxProblems {
		v.problems = v.problems[:maxProblems]
	}
	return v.problems
}

func (v *validator) addProblem(p Problem) { v.problems = append(v.problems, p) }

// nodesOfKind returns the locations of all nodes of some kinds.
func (v *validator) nodesOfKind(kinds NodeKind) []location {
	var out []location
	for _, l := range v.nodes {
		if l.kind&kinds != 0 {
			out = append(out, l)
		}
	}
	return out
}

func (v *validator) exists(path string) bool { return v.tree.nodes[path] != nil }

func (v *validator) checkReferences() {
	for _, l := range v.nodesOfKind(NodeServiceAccount | NodeDomainService) {
		needed := []string{ServicePath(l.id), AccountPath(l.childID)}
		if l.kind == NodeDomainService {
			needed = []string{DomainPath(l.id), ServicePath(l.childID)}
		}
		for _, path := range needed {
			if !v.exists(path) {
				v.addProblem(Problem{Code: BadReference, Path: l.path, Message: fmt.Sprintf("%s does not exist", path), Accepted: "a path whose account, service and failure domain are nodes of the tree"})
			}
		}
	}
	for _, l := range v.nodesOfKind(NodeService) {
		to := v.tree.nodes[l.path][KeyFallbackService].text
		if to != "" && !v.exists(ServicePath(to)) {
			v.addProblem(Problem{Code: BadReference, Path: l.path, Key: KeyFallbackService, Message: fmt.Sprintf("service %q does not exist", to), Accepted: "the id of a service of the tree, or an empty string"})
		}
	}
}

func (v *validator) checkLimits() {
	var keys []string
	for i := range schema {
		if schema[i].Merge == MergeLimit {
			keys = append(keys, schema[i].Name)
		}
	}
	for _, l := range v.nodes {
		for _, key := range keys {
			if own, ok := v.tree.nodes[l.path][key]; ok {
				v.checkLimit(l, key, own)
			}
		}
	}
}

func (v *validator) checkLimit(l location, key string, own Value) {
	for _, above := range l.inheritanceChain()[1:] {
		if bound, ok := v.tree.nodes[above][key]; ok && exceedsLimit(own, bound) {
			v.addProblem(Problem{Code: ExceedsLimit, Path: l.path, Key: key, Message: fmt.Sprintf("%s exceeds %s of %s", formatLimit(own), formatLimit(bound), above), Accepted: "above 0 and at most " + bound.String()})
		}
	}
}

func formatLimit(v Value) string {
	if v.number == 0 {
		return "0 (no limit)"
	}
	return v.String()
}

func (v *validator) checkKeyHashes() {
	owner := map[string]string{}
	for _, l := range v.nodesOfKind(NodeAccount) {
		for _, h := range v.tree.nodes[l.path][KeyKeyHashes].list {
			if other, taken := owner[h]; taken {
				v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyKeyHashes, Message: fmt.Sprintf("digest %s... belongs to account %q", h[:8], other), Accepted: "digests that no other account has"})
			}
			owner[h] = l.id
		}
	}
}

func (v *validator) checkRoutes() {
	owner := map[string]string{}
	for _, l := range v.nodesOfKind(NodeService) {
		own := v.tree.nodes[l.path]
		for _, text := range own[KeyRoutes].list {
			route, _ := ParseRoute(text)
			switch other, taken := owner[text]; {
			case taken:
				v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyRoutes, Message: fmt.Sprintf("route %q belongs to service %q", truncate(text), other), Accepted: "routes that no other service has"})
			case route.Path == ChatPath:
				v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyRoutes, Message: ChatPath + " leads to the service of the model in the request", Accepted: "any other path; models need no route"})
			}
			owner[text] = l.id
		}
		for _, text := range own[KeyNonIdempotent].list {
			if slices.Contains(own[KeyIdempotent].list, text) {
				v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyNonIdempotent, Message: fmt.Sprintf("route %q is also in %s", truncate(text), KeyIdempotent), Accepted: "each route in one of the two lists"})
			}
		}
	}
}

// checkModelNames checks that each model name or id selects only one service.
func (v *validator) checkModelNames() {
	owner := map[string]string{}
	services := v.nodesOfKind(NodeService)
	for _, l := range services {
		if v.serviceKind(l.id) == KindModel {
			owner[l.id] = l.id
		}
	}
	for _, l := range services {
		model := v.tree.nodes[l.path][KeyModel].text
		if model == "" || v.serviceKind(l.id) != KindModel {
			continue
		}
		if other, taken := owner[model]; taken && other != l.id {
			v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyModel, Message: fmt.Sprintf("model %q leads to service %q", model, other), Accepted: "a name that is no other service's model or id"})
		}
		owner[model] = l.id
	}
}

func (v *validator) serviceKind(service string) string {
	l, _ := parsePath(ServicePath(service))
	value, _ := v.tree.effective(l.inheritanceChain(), schemaByName[KeyKind])
	return value.text
}

func (v *validator) checkServices() {
	for _, l := range v.nodesOfKind(NodeRoot | NodeService) {
		wait, _ := v.tree.effective(l.inheritanceChain(), schemaByName[KeyMaxQueueMS])
		total, _ := v.tree.effective(l.inheritanceChain(), schemaByName[KeyTimeoutMS])
		if wait.number > total.number {
			v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyMaxQueueMS, Message: fmt.Sprintf("%s ms exceeds %s of %s ms", wait, KeyTimeoutMS, total), Accepted: fmt.Sprintf("at most %s", total)})
		}
	}
	for _, l := range v.nodesOfKind(NodeService | NodeDomainService) {
		service := l.id
		if l.kind == NodeDomainService {
			service = l.childID
		}
		if size := v.tree.nodes[l.path][KeyGroupSize]; size.number > 1 && v.serviceKind(service) != KindModel {
			v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyGroupSize, Message: fmt.Sprintf("%s instances for a plain service", size), Accepted: "1, or kind \"model\""})
		}
	}
}

// checkFallbacks checks that the fallback of each service has the same kind and
// that fallbacks form no cycle.
func (v *validator) checkFallbacks() {
	for _, l := range v.nodesOfKind(NodeService) {
		to := v.tree.nodes[l.path][KeyFallbackService].text
		if to == "" || !v.exists(ServicePath(to)) {
			continue
		}
		if v.serviceKind(l.id) != v.serviceKind(to) {
			v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyFallbackService, Message: fmt.Sprintf("service %q is of kind %q", to, v.serviceKind(to)), Accepted: fmt.Sprintf("a service of kind %q", v.serviceKind(l.id))})
		}
		if chain := v.fallbackCycle(l.id); chain != nil {
			v.addProblem(Problem{Code: Cycle, Path: l.path, Key: KeyFallbackService, Message: "the fallbacks lead back to the service: " + strings.Join(chain, " -> "), Accepted: "a service whose fallbacks do not lead back"})
		}
	}
}

// fallbackCycle returns the fallback chain of a service if it leads back to the
// service, and nil otherwise.
func (v *validator) fallbackCycle(service string) []string {
	chain := []string{service}
	seen := map[string]bool{}
	for current := service; !seen[current]; {
		seen[current] = true
		current = v.tree.nodes[ServicePath(current)][KeyFallbackService].text
		if current == "" {
			return nil
		}
		chain = append(chain, current)
		if current == service {
			return chain
		}
	}
	return nil
}

// checkAnonymousAccount checks that the anonymous account is never paying and
// has no keys.
func (v *validator) checkAnonymousAccount() {
	path := AccountPath(AnonymousAccount)
	for _, l := range v.nodesOfKind(NodeAccount | NodeServiceAccount) {
		if l.path != path && l.childID != AnonymousAccount {
			continue
		}
		class, origin := v.tree.effective(l.inheritanceChain(), schemaByName[KeyClass])
		if class.text == ClassPaying {
			v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyClass, Message: fmt.Sprintf("callers without a known key would be paying, by the value of %s", origin.Path), Accepted: `"free"`})
		}
	}
	if len(v.tree.nodes[path][KeyKeyHashes].list) > 0 {
		v.addProblem(Problem{Code: Contradiction, Path: path, Key: KeyKeyHashes, Message: "the account of callers without a known key has keys", Accepted: "an empty list"})
	}
}

// checkWeightStoreShares checks that the failure domains' shares of the weight
// store's rate do not exceed 100% in total.
func (v *validator) checkWeightStoreShares() {
	sum := 0.0
	for _, l := range v.nodesOfKind(NodeDomain) {
		sum += v.tree.nodes[l.path][KeyWeightStoreShare].number
		if sum > 100 {
			v.addProblem(Problem{Code: Contradiction, Path: l.path, Key: KeyWeightStoreShare, Message: fmt.Sprintf("the shares of the failure domains add up to %s%%", Number(sum)), Accepted: "shares of at most 100% together"})
			return
		}
	}
}
