package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func set(path, key string, v Value) Op { return Op{Op: OpSet, Path: path, Key: key, Value: v} }

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func sample() []Op {
	return []Op{
		set("/", KeyMaxConcurrent, Number(1000)),
		set("/accounts/rug", KeyClass, Text(ClassPaying)),
		set("/accounts/rug", KeyKeyHashes, List(digest("rug-key"))),
		set("/accounts/rug", KeyMaxConcurrent, Number(50)),
		set("/accounts/visitor", KeyWeight, Number(2)),
		set("/services/rug-model", KeyKind, Text(KindModel)),
		set("/services/rug-model", KeyModel, Text("rug/7b")),
		set("/services/rug-model", KeyGroupSize, Number(4)),
		set("/services/wash", KeyRoutes, List("/wash/", "POST /orders")),
		set("/services/wash", KeyIdempotent, List("POST /wash/quotes")),
		set("/services/wash", KeyNonIdempotent, List("PUT /wash/repairs/")),
		set("/services/wash", KeyReplayContract, List("409 Bluebell-Not-Started: true", "503")),
		set("/services/wash", KeyMaxConcurrent, Number(20)),
		set("/services/rug-model/accounts/visitor", KeyMaxConcurrent, Number(5)),
		set("/services/rug-model/accounts/visitor", KeyWeight, Number(3)),
	}
}

func tree(t testing.TB, ops ...Op) *Tree {
	tr, problems := NewTree(append(sample(), ops...))
	require.Empty(t, problems)
	return tr
}

// Guards against an invalid tree being accepted, and against a problem that
// does not give the path, the key and the accepted values.
func TestProblems(t *testing.T) {
	fallback := func(from, to string) Op { return set("/services/"+from, KeyFallbackService, Text(to)) }
	cases := []struct {
		name      string
		ops       []Op
		code      ProblemCode
		path, key string
		accepted  string
	}{
		{"path", []Op{set("/users/x", KeyWeight, Number(1))}, BadPath, "/users/x", "", "/accounts/<id>"},
		{"id", []Op{set("/accounts/a b", KeyWeight, Number(1))}, BadPath, "/accounts/a b", "", "letters"},
		{"op", []Op{{Op: "add", Path: "/"}}, BadOp, "/", "", `"set"`},
		{"unknown key", []Op{set("/", "maxRequests", Number(1))}, UnknownKey, "/", "maxRequests", KeyMaxRequestsPerSecond},
		{"misplaced key", []Op{set("/accounts/rug", KeyRoutes, List("/"))}, MisplacedKey, "/accounts/rug", KeyRoutes, "/services/<id>"},
		{"type", []Op{set("/", KeyWeight, Text("2"))}, BadValue, "/", KeyWeight, "number from 0.001 to 1000"},
		{"range", []Op{set("/", KeyRetryBudgetPercent, Number(11))}, BadValue, "/", KeyRetryBudgetPercent, "number from 0 to 10 %"},
		{"fraction", []Op{set("/", KeyQueueSize, Number(1.5))}, BadValue, "/", KeyQueueSize, "integer"},
		{"choice", []Op{set("/", KeyClass, Text("gold"))}, BadValue, "/", KeyClass, `"free" or "paying"`},
		{"item", []Op{set("/accounts/rug", KeyKeyHashes, List("abc"))}, BadValue, "/accounts/rug", KeyKeyHashes, "64 lower-case hex digits"},
		{"item twice", []Op{set("/", KeyDropHeaders, List("A", "A"))}, BadValue, "/", KeyDropHeaders, "name of a header"},
		{"proof", []Op{set("/services/wash", KeyReplayContract, List("200"))}, BadValue, "/services/wash", KeyReplayContract, "400 to 599"},
		{"route", []Op{set("/services/wash", KeyRoutes, List("post /x"))}, BadValue, "/services/wash", KeyRoutes, "POST /orders"},
		{"reset of no node", []Op{{Op: OpReset, Path: "/accounts/none", Key: KeyWeight}}, NodeNotFound, "/accounts/none", "", "node of the tree"},
		{"delete of no node", []Op{{Op: OpDelete, Path: "/accounts/none"}}, NodeNotFound, "/accounts/none", "", "node of the tree"},
		{"delete of the root", []Op{{Op: OpDelete, Path: "/"}}, BadOp, "/", "", "below the root"},
		{"no such account", []Op{set("/services/wash/accounts/none", KeyWeight, Number(1))}, BadReference, "/services/wash/accounts/none", "", "account"},
		{"account still has rules", []Op{{Op: OpDelete, Path: "/accounts/visitor"}}, BadReference, "/services/rug-model/accounts/visitor", "", "account"},
		{"no such fallback", []Op{fallback("wash", "none")}, BadReference, "/services/wash", KeyFallbackService, "id of a service"},
		{"fallback of another kind", []Op{fallback("wash", "rug-model")}, Contradiction, "/services/wash", KeyFallbackService, `kind "plain"`},
		{"cycle", []Op{fallback("wash", "a"), fallback("a", "b"), fallback("b", "wash")}, Cycle, "/services/a", KeyFallbackService, "do not lead back"},
		{"self", []Op{fallback("wash", "wash")}, Cycle, "/services/wash", KeyFallbackService, "do not lead back"},
		{"child limit", []Op{set("/accounts/rug", KeyMaxConcurrent, Number(1001))}, ExceedsLimit, "/accounts/rug", KeyMaxConcurrent, "at most 1000"},
		{"no child limit", []Op{set("/accounts/rug", KeyMaxConcurrent, Number(0))}, ExceedsLimit, "/accounts/rug", KeyMaxConcurrent, "above 0"},
		{"limit at a service", []Op{set("/services/wash/accounts/rug", KeyMaxConcurrent, Number(30))}, ExceedsLimit, "/services/wash/accounts/rug", KeyMaxConcurrent, "at most 20"},
		{"limit of the account", []Op{set("/services/rug-model/accounts/rug", KeyMaxConcurrent, Number(60))}, ExceedsLimit, "/services/rug-model/accounts/rug", KeyMaxConcurrent, "at most 50"},
		{"key of two accounts", []Op{set("/accounts/visitor", KeyKeyHashes, List(digest("rug-key")))}, Contradiction, "/accounts/visitor", KeyKeyHashes, "no other account"},
		{"route of two services", []Op{set("/services/x", KeyRoutes, List("/wash/"))}, Contradiction, "/services/x", KeyRoutes, "no other service"},
		{"chat route", []Op{set("/services/wash", KeyRoutes, List("POST "+ChatPath))}, Contradiction, "/services/wash", KeyRoutes, "any other path"},
		{"model of two services", []Op{set("/services/x", KeyKind, Text(KindModel)), set("/services/x", KeyModel, Text("rug/7b"))}, Contradiction, "/services/x", KeyModel, "no other service"},
		{"both idempotent", []Op{set("/services/wash", KeyNonIdempotent, List("POST /wash/quotes"))}, Contradiction, "/services/wash", KeyNonIdempotent, "one of the two"},
		{"queue beyond the timeout", []Op{set("/services/wash", KeyTimeoutMS, Number(100))}, Contradiction, "/services/wash", KeyMaxQueueMS, "at most 100"},
		{"group of a plain service", []Op{set("/services/wash", KeyGroupSize, Number(2))}, Contradiction, "/services/wash", KeyGroupSize, "1"},
		{"paying anonymous callers", []Op{set("/accounts/anonymous", KeyClass, Text(ClassPaying))}, Contradiction, "/accounts/anonymous", KeyClass, "free"},
		{"shares", []Op{set("/failureDomains/a", KeyWeightStoreShare, Number(60)), set("/failureDomains/b", KeyWeightStoreShare, Number(50))}, Contradiction, "/failureDomains/b", KeyWeightStoreShare, "100%"},
	}
	base := tree(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problems := base.Check(c.ops)
			require.NotEmpty(t, problems)
			p := problems[0]
			require.Equal(t, [3]string{string(c.code), c.path, c.key}, [3]string{string(p.Code), p.Path, p.Key}, p.Error())
			require.Contains(t, p.Accepted, c.accepted)
		})
	}
}

// Guards against a request being routed to the wrong service, or treated as
// idempotent when it is not.
func TestRoutes(t *testing.T) {
	tr := tree(t, set("/services/images", KeyRoutes, List("/wash/images/", "GET /wash/")))
	cases := []struct {
		method, path, service string
		idempotent            bool
	}{
		{"POST", ChatPath, "", true},
		{"GET", "/wash/a/b", "images", true},
		{"POST", "/wash/a", "wash", false},
		{"POST", "/wash/quotes", "wash", true},
		{"PUT", "/wash/repairs/7", "wash", false},
		{"PUT", "/wash/other", "wash", true},
		{"POST", "/wash/images/7", "images", false},
		{"POST", "/orders", "wash", false},
		{"GET", "/orders", "-", false},
		{"POST", "/orders/7", "-", false},
		{"GET", "/", "-", false},
	}
	for _, c := range cases {
		m, ok := tr.Route(c.method, c.path)
		require.Equal(t, c.service != "-", ok, "%s %s", c.method, c.path)
		if !ok {
			continue
		}
		require.Equal(t, c.idempotent, m.Idempotent, "%s %s", c.method, c.path)
		if require.Equal(t, c.service == "", m.ByModel); !m.ByModel {
			require.Equal(t, c.service, m.Service.ID, "%s %s", c.method, c.path)
		}
	}
}

// Guards against effective settings that ignore a node, and against allocations
// in the lookups made for each request.
func TestViews(t *testing.T) {
	tr := tree(t, set("/", KeyUnknownKey, Text(CallerFree)), set("/failureDomains/a/services/rug-model", KeyDowntimeWeight, Number(7)), Op{Op: OpSet, Path: "/failureDomains/a"})
	key := sha256.Sum256([]byte("rug-key"))
	rug, ok := tr.AccountByKeyHash(key)
	require.True(t, ok)
	require.True(t, rug.Paying)
	wash, _ := tr.Service("wash")
	model, ok := tr.ServiceByModel("rug/7b")
	require.True(t, ok)
	byID, _ := tr.ServiceByModel("rug-model")
	require.Same(t, model, byID)
	visitor, _ := tr.Account("visitor")
	require.Equal(t, Rules{Paying: true, Weight: 1, Limits: Limits{Concurrent: 20}}, tr.Rules(rug, wash))
	require.Equal(t, Rules{Weight: 3, Limits: Limits{Concurrent: 5}, HasOwnLimits: true}, tr.Rules(visitor, model))
	require.Equal(t, []NotStartedResponse{{409, "Bluebell-Not-Started", "true"}, {Status: 503}}, wash.ReplayContract)
	require.Equal(t, 10*time.Minute, wash.Quarantine)
	require.Nil(t, tr.Global().Anonymous)
	require.False(t, tr.Global().UnknownKey.Paying)
	require.Equal(t, 7.0, tr.GroupPolicy("a", "rug-model").DowntimeWeight)
	require.Equal(t, 4, tr.GroupPolicy("b", "rug-model").GroupSize)
	require.Equal(t, 5e8, tr.WeightStoreRate("a", []string{"a", "b"}))
	allocations := testing.AllocsPerRun(100, func() {
		a, _ := tr.AccountByKeyHash(key)
		m, _ := tr.Route("PUT", "/wash/repairs/7")
		tr.Rules(a, m.Service)
	})
	require.Zero(t, allocations)
}

// Guards against a wrong origin for an effective value.
func TestEffectiveOrigins(t *testing.T) {
	tr := tree(t, set("/accounts/visitor", KeyMaxConcurrent, Number(10)))
	for _, c := range []struct {
		path, key, value string
		origin           Origin
	}{
		{"/services/wash/accounts/rug", KeyMaxConcurrent, "20", Origin{Path: "/services/wash", Inherited: true}},
		{"/services/rug-model/accounts/rug", KeyMaxConcurrent, "50", Origin{Path: "/accounts/rug", Inherited: true}},
		{"/services/wash/accounts/visitor", KeyMaxConcurrent, "10", Origin{Path: "/accounts/visitor", Inherited: true}},
		{"/services/wash/accounts/rug", KeyClass, `"paying"`, Origin{Path: "/accounts/rug", Inherited: true}},
		{"/accounts/visitor", KeyWeight, "2", Origin{Path: "/accounts/visitor"}},
		{"/accounts/visitor", KeyClass, `"free"`, Origin{Default: true, Inherited: true}},
	} {
		v, origin, err := tr.Effective(c.path, c.key)
		require.NoError(t, err)
		require.Equal(t, c.value, v.String())
		require.Equal(t, c.origin, origin)
	}
	_, _, err := tr.Effective("/services/none", KeyKind)
	require.ErrorAs(t, err, &Problem{})
}

// Guards against a reference page that does not match the schema, and against a
// default value that the schema does not accept.
func TestReferenceIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/settings-reference.md")
	require.NoError(t, err)
	require.Equal(t, Reference(), string(page), "run: bluebellctl settings reference > docs/settings-reference.md")
	for _, k := range Schema() {
		require.Empty(t, k.check(k.Default), k.Name)
		require.True(t, strings.HasSuffix(k.Doc, "."), k.Name)
	}
}

func BenchmarkServingLookups(b *testing.B) {
	tr := tree(b)
	key := sha256.Sum256([]byte("rug-key"))
	b.ReportAllocs()
	for b.Loop() {
		a, _ := tr.AccountByKeyHash(key)
		m, _ := tr.Route("PUT", "/wash/repairs/7")
		tr.Rules(a, m.Service)
	}
}
