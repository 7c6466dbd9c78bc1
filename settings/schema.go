package settings

import (
	"fmt"
	"math"
	"strings"
)

// MergeRule defines how a node's own value is combined with inherited values.
type MergeRule string

// Merge rules.
const (
	// MergeOverride uses the value of the nearest node that sets one.
	MergeOverride MergeRule = "override"
	// MergeLimit uses the smallest value; a node may not exceed the nodes that
	// it inherits from. The value 0 means no limit.
	MergeLimit MergeRule = "limit"
	// MergeUnion uses the union of the lists of all nodes.
	MergeUnion MergeRule = "union"
)

// ItemFormat is the format required of a string or of each item of a list.
type ItemFormat string

// Item formats.
const (
	ItemAny                ItemFormat = ""
	ItemDigest             ItemFormat = "sha256"
	ItemRoute              ItemFormat = "route"
	ItemNotStartedResponse ItemFormat = "proof"
	ItemHeader             ItemFormat = "header"
	ItemName               ItemFormat = "name"
	// ItemService is the id of a service. Validation of the tree checks that the
	// service exists.
	ItemService ItemFormat = "service"
)

// Key describes one setting.
type Key struct {
	Name string
	Type Type
	Unit string
	// Min and Max are the inclusive bounds of a number. The length of a list is
	// limited by maxListItems.
	Min, Max float64
	// Accepted lists the values of an enumerated string.
	Accepted []string
	Item     ItemFormat
	// Default is the value if no node of the inheritance chain sets one.
	Default Value
	// Nodes are the kinds of node at which the key can be set.
	Nodes NodeKind
	Merge MergeRule
	Doc   string
}

// Limits of list length and of string length in bytes. They keep a change small
// enough for one log entry.
const (
	maxListItems  = 256
	maxItemLength = 512
)

// Names of the settings.
const (
	KeyClass                = "class"
	KeyWeight               = "weight"
	KeyKeyHashes            = "keyHashes"
	KeyMaxRequestsPerSecond = "maxRequestsPerSecond"
	KeyMaxConcurrent        = "maxConcurrent"
	KeyMaxTokensPerMinute   = "maxTokensPerMinute"
	KeyAnonymous            = "anonymous"
	KeyUnknownKey           = "unknownKey"
	KeyClaimAnswerHours     = "claimAnswerHours"
	KeyClaimTombstoneDays   = "claimTombstoneDays"
	KeyClaimMaxRecords      = "claimMaxRecords"
	KeyClaimMaxStoredBytes  = "claimMaxStoredBytes"
	KeyKind                 = "kind"
	KeyRoutes               = "routes"
	KeyModel                = "model"
	KeyModelVersion         = "modelVersion"
	KeyAdapters             = "adapters"
	KeyIdempotent           = "idempotent"
	KeyNonIdempotent        = "nonIdempotent"
	KeyReplayContract       = "replayContract"
	KeyIdempotencyKeyHeader = "idempotencyKeyHeader"
	KeyDropHeaders          = "dropHeaders"
	KeyFallbackService      = "fallbackService"
	KeyMaxBodyBytes         = "maxBodyBytes"
	KeyMaxHeaderBytes       = "maxHeaderBytes"
	KeyMaxResponseBytes     = "maxResponseBytes"
	KeyMaxStreams           = "maxStreams"
	KeyTimeoutMS            = "timeoutMs"
	KeyMaxQueueMS           = "maxQueueMs"
	KeyQueueSize            = "queueSize"
	KeyRetryBudgetPercent   = "retryBudgetPercent"
	KeyQuarantineSeconds    = "quarantineSeconds"
	KeyConfirmationMaxAgeMS = "confirmationMaxAgeMs"
	KeyEjectMaxPercent      = "ejectMaxPercent"
	KeyGroupSize            = "groupSize"
	KeyDowntimeWeight       = "downtimeWeight"
	KeyStrandedWeight       = "strandedWeight"
	KeyChecksFencing        = "checksFencing"
	KeyChecksOrderAuth      = "checksOrderAuth"
	KeyWeightStoreRate      = "weightStoreBytesPerSecond"
	KeyWeightStoreShare     = "weightStoreSharePercent"
	KeyRepairPatienceMS     = "repairPatienceMs"
	KeyDrainTimeoutMS       = "drainTimeoutMs"
)

// Values of enumerated settings.
const (
	ClassPaying  = "paying"
	ClassFree    = "free"
	KindModel    = "model"
	KindPlain    = "plain"
	CallerRefuse = "refuse"
	CallerFree   = "free"
	HeaderRename = "rename"
	HeaderPass   = "pass"
	CheckUnknown = "unknown"
	CheckYes     = "yes"
	CheckNo      = "no"
)

const (
	nodesLimits  = NodeRoot | NodeAccount | NodeService | NodeServiceAccount
	nodesService = NodeRoot | NodeService
	nodesGroup   = NodeRoot | NodeGroups | NodeService | NodeDomain | NodeDomainService
	kib          = 1024
	mib          = 1024 * kib
	gib          = 1024 * mib
)

func integer(name, unit string, low, high, def float64, nodes NodeKind, doc string) Key {
	return Key{Name: name, Type: TypeInteger, Unit: unit, Min: low, Max: high, Default: Number(def), Nodes: nodes, Merge: MergeOverride, Doc: doc}
}

func number(name, unit string, low, high, def float64, nodes NodeKind, doc string) Key {
	k := integer(name, unit, low, high, def, nodes, doc)
	k.Type = TypeNumber
	return k
}

func withLimitMerge(k Key) Key {
	k.Merge = MergeLimit
	return k
}

func enum(name string, nodes NodeKind, doc, def string, others ...string) Key {
	return Key{Name: name, Type: TypeString, Accepted: append([]string{def}, others...), Default: Text(def), Nodes: nodes, Merge: MergeOverride, Doc: doc}
}

func text(name string, item ItemFormat, nodes NodeKind, doc string) Key {
	return Key{Name: name, Type: TypeString, Item: item, Default: Text(""), Nodes: nodes, Merge: MergeOverride, Doc: doc}
}

func list(name string, item ItemFormat, merge MergeRule, nodes NodeKind, doc string) Key {
	return Key{Name: name, Type: TypeStrings, Item: item, Default: List(), Nodes: nodes, Merge: merge, Doc: doc}
}

// schema describes every setting. Validation, inheritance and the reference
// page are derived from it.
var schema = []Key{
	enum(KeyClass, NodeRoot|NodeAccount|NodeServiceAccount, "Class of the account. Paying work is admitted before free work.", ClassFree, ClassPaying),
	number(KeyWeight, "share", 0.001, 1000, 1, NodeRoot|NodeAccount|NodeServiceAccount, "Weight in the fair queue among accounts of the same class."),
	list(KeyKeyHashes, ItemDigest, MergeOverride, NodeAccount, "SHA-256 digests of the account's bearer keys. A digest belongs to one account only."),
	withLimitMerge(number(KeyMaxRequestsPerSecond, "requests/s", 0, 1e9, 0, nodesLimits, "Requests admitted each second over all entries; 0 is no limit.")),
	withLimitMerge(integer(KeyMaxConcurrent, "requests", 0, 1e9, 0, nodesLimits, "Requests that run at once over all entries; 0 is no limit.")),
	withLimitMerge(integer(KeyMaxTokensPerMinute, "tokens/min", 0, 1e12, 0, nodesLimits, "Tokens used each minute over all entries; 0 is no limit.")),
	enum(KeyAnonymous, NodeRoot, "What happens to callers without a key: refused, or served as the free account \"anonymous\".", CallerRefuse, CallerFree),
	enum(KeyUnknownKey, NodeRoot, "What happens to callers whose key belongs to no account: refused, or served as the free account \"anonymous\".", CallerRefuse, CallerFree),
	integer(KeyClaimAnswerHours, "h", 1, 720, 24, NodeRoot, "How long the answer to a request with an idempotency key is kept."),
	integer(KeyClaimTombstoneDays, "d", 1, 365, 30, NodeRoot, "How long it is known that an idempotency key was used."),
	integer(KeyClaimMaxRecords, "keys", 1, 200_000, 50_000, NodeRoot|NodeAccount, "Idempotency keys recorded for the account at once. Further keys are refused."),
	integer(KeyClaimMaxStoredBytes, "B", 0, 16*mib, 4*mib, NodeRoot|NodeAccount, "Bytes of stored answers of the account. Further answers are recorded without their body."),
	enum(KeyKind, NodeService, "Kind of the service: a model that engines serve, or a plain service whose requests pass through.", KindPlain, KindModel),
	list(KeyRoutes, ItemRoute, MergeOverride, NodeService, "Routes that lead to the service, as an optional method and a path; a path that ends in '/' stands for everything below it."),
	text(KeyModel, ItemName, NodeService, "Name of the model in requests; the id of the service is accepted as well."),
	text(KeyModelVersion, ItemName, NodeService|NodeDomainService, "Version of the model that groups of the service run."),
	list(KeyAdapters, ItemName, MergeOverride, NodeService|NodeDomainService, "Adapters that groups of the service have loaded."),
	list(KeyIdempotent, ItemRoute, MergeOverride, NodeService, "Routes that are safe to run more than once although their method does not say so."),
	list(KeyNonIdempotent, ItemRoute, MergeOverride, NodeService, "Routes that must run at most once although their method is GET, HEAD, PUT, DELETE or OPTIONS, or the service is a model."),
	list(KeyReplayContract, ItemNotStartedResponse, MergeOverride, NodeService, "Responses that prove that the upstream did not start the request: a status, optionally followed by a header and its value, as in \"409 Bluebell-Not-Started: true\"."),
	enum(KeyIdempotencyKeyHeader, nodesService, "Whether the Idempotency-Key header reaches upstreams under its own name, or renamed to Bluebell-Idempotency-Key.", HeaderRename, HeaderPass),
	list(KeyDropHeaders, ItemHeader, MergeUnion, nodesService, "Request headers that are removed before a request reaches an upstream."),
	text(KeyFallbackService, ItemService, NodeService, "Service of the same kind that takes requests while this one has no upstream."),
	integer(KeyMaxBodyBytes, "B", 1, gib, mib, nodesService, "Largest request body."),
	integer(KeyMaxHeaderBytes, "B", kib, mib, 32*kib, nodesService, "Largest total size of the request headers."),
	integer(KeyMaxResponseBytes, "B", kib, 16*gib, 64*mib, nodesService, "Largest response."),
	integer(KeyMaxStreams, "streams", 1, 1e6, 2000, nodesService, "Streamed responses that one entry sends at once."),
	integer(KeyTimeoutMS, "ms", 1, 24*3600*1000, 120_000, nodesService, "Longest time from the arrival of a request to the end of its answer."),
	integer(KeyMaxQueueMS, "ms", 0, 3600*1000, 10_000, nodesService, "Longest time that a request waits for admission; at most timeoutMs."),
	integer(KeyQueueSize, "requests", 0, 1e6, 512, nodesService, "Requests that wait for admission at one entry."),
	number(KeyRetryBudgetPercent, "%", 0, 10, 10, nodesService, "Retries that one entry adds to the service's requests."),
	integer(KeyQuarantineSeconds, "s", 1, 7*24*3600, 600, nodesService, "How long a request that crashes upstreams is refused."),
	integer(KeyConfirmationMaxAgeMS, "ms", 100, 3000, 3000, nodesService, "Oldest information about an upstream that permits a dispatch to it."),
	integer(KeyEjectMaxPercent, "%", 0, 30, 30, nodesService, "Upstreams of the service that may be ejected as unhealthy at once."),
	integer(KeyGroupSize, "instances", 1, 64, 1, NodeService|NodeDomainService, "Instances that together run one copy of the model."),
	number(KeyDowntimeWeight, "cost/s", 0, 1e6, 1, nodesGroup, "Cost of a second without a replica group that should serve."),
	number(KeyStrandedWeight, "cost/s", 0, 1e6, 1, nodesGroup, "Cost of a second in which an accelerator belongs to no serving group."),
	enum(KeyChecksFencing, NodeRoot|NodeService, "Whether the service's engines reject orders with an old fencing number; unknown counts as no.", CheckUnknown, CheckYes, CheckNo),
	enum(KeyChecksOrderAuth, NodeRoot|NodeService, "Whether the service's engines authenticate the sender of an order; unknown counts as no.", CheckUnknown, CheckYes, CheckNo),
	integer(KeyWeightStoreRate, "B/s", 1, 1e13, 1e9, NodeGroups, "Rate of the weight store over all failure domains."),
	number(KeyWeightStoreShare, "%", 0, 100, 0, NodeDomain, "Share of the weight store's rate for the failure domain; 0 divides what is left evenly among domains without a share."),
	integer(KeyRepairPatienceMS, "ms", 0, 3600*1000, 5000, nodesGroup, "Longest time to wait for a missing group member to return before its group is repaired."),
	integer(KeyDrainTimeoutMS, "ms", 0, 24*3600*1000, 600_000, nodesGroup, "Longest time for running requests to finish when a group or an upstream is drained."),
}

var schemaByName = func() map[string]*Key {
	m := make(map[string]*Key, len(schema))
	for i := range schema {
		m[schema[i].Name] = &schema[i]
	}
	return m
}()

// Schema returns a copy of the descriptions of all settings.
func Schema() []Key { return append([]Key(nil), schema...) }

// Describe returns the description of a setting.
func Describe(name string) (Key, bool) {
	k, ok := schemaByName[name]
	if !ok {
		return Key{}, false
	}
	return *k, true
}

// AcceptedText describes the accepted values for error messages and the
// reference page.
func (k *Key) AcceptedText() string {
	switch {
	case k.Type == TypeInteger || k.Type == TypeNumber:
		return strings.TrimSpace(fmt.Sprintf("%s from %s to %s %s", k.Type, Number(k.Min), Number(k.Max), k.Unit))
	case len(k.Accepted) > 0:
		return `"` + strings.Join(k.Accepted, `" or "`) + `"`
	case k.Type == TypeStrings:
		return fmt.Sprintf("a list of up to %d items, each %s", maxListItems, k.Item.accepted())
	}
	return k.Item.accepted()
}

// check returns why the key does not accept v, or "" if it does.
func (k *Key) check(v Value) string {
	switch k.Type {
	case TypeInteger, TypeNumber:
		if v.kind != valueNumber {
			return "found " + v.describe()
		}
		if k.Type == TypeInteger && v.number != math.Trunc(v.number) || !(v.number >= k.Min && v.number <= k.Max) {
			return "found " + v.String()
		}
	case TypeString:
		if v.kind != valueText {
			return "found " + v.describe()
		}
		if len(k.Accepted) > 0 {
			for _, a := range k.Accepted {
				if a == v.text {
					return ""
				}
			}
			return "found " + truncate(v.String())
		}
		if v.text != "" && !k.Item.matches(v.text) {
			return "found " + truncate(v.String())
		}
	case TypeStrings:
		return k.checkList(v)
	}
	return ""
}

func (k *Key) checkList(v Value) string {
	if v.kind != valueList {
		return "found " + v.describe()
	}
	if len(v.list) > maxListItems {
		return fmt.Sprintf("found %d items", len(v.list))
	}
	seen := make(map[string]bool, len(v.list))
	for _, item := range v.list {
		if !k.Item.matches(item) {
			return "found " + truncate(Text(item).String())
		}
		if seen[item] {
			return "found " + truncate(Text(item).String()) + " twice"
		}
		seen[item] = true
	}
	return ""
}
