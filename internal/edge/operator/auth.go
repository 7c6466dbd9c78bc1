package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// operator is a configured operator with a decoded token digest.
type operator struct {
	name     string
	digest   [sha256.Size]byte
	readOnly bool
}

// parseOperators decodes the digests. An operator whose digest cannot be
// decoded is left out, so that no token matches it.
func parseOperators(in []config.Operator) []operator {
	var out []operator
	for _, o := range in {
		raw, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		out = append(out, operator{name: o.Name, digest: [sha256.Size]byte(raw), readOnly: o.ReadOnly})
	}
	return out
}

type operatorKey struct{}

// operatorName returns the name of the operator who sent a request.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticate admits requests of known operators, and only reads of those who
// are read-only.
func (a *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := a.find(r.Header.Get("Authorization"))
		if o == nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			a.fail(w, a.fault(fault.Unauthorized, "operator.authenticate", "the bearer token belongs to no operator"))
			return
		}
		if o.readOnly && r.Method != http.MethodGet && r.Method != http.MethodHead {
			a.fail(w, a.fault(fault.Forbidden, "operator.authenticate", "operator "+o.name+" may only read"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, o.name)))
	})
}

// find compares the token with every operator, so that the time does not tell
// which one nearly matched.
func (a *api) find(header string) *operator {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || token == "" {
		return nil
	}
	digest := sha256.Sum256([]byte(token))
	var found *operator
	for i := range a.operators {
		if subtle.ConstantTimeCompare(a.operators[i].digest[:], digest[:]) == 1 {
			found = &a.operators[i]
		}
	}
	return found
}
