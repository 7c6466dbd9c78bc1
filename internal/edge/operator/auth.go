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

// operator is a configured operator with its decoded token digest.
type operator struct {
	name     string
	digest   [sha256.Size]byte
	readOnly bool
}

// parseOperators decodes the token digests. An operator whose digest is invalid
// is skipped, so that no token matches it.
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

// operatorNameKey is the context key of the operator's name.
type operatorNameKey struct{}

// operatorName returns the name of the operator who sent the request.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	return name
}

// authenticate passes on the requests of known operators. Read-only operators
// may use GET and HEAD only.
func (a *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := a.findOperator(r.Header.Get("Authorization"))
		if o == nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			a.writeError(w, a.newError(fault.Unauthorized, "operator.authenticate", "the bearer token belongs to no operator"))
			return
		}
		if o.readOnly && r.Method != http.MethodGet && r.Method != http.MethodHead {
			a.writeError(w, a.newError(fault.Forbidden, "operator.authenticate", "operator "+o.name+" may only read"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, o.name)))
	})
}

// findOperator returns the operator whose token is in the Authorization header,
// or nil. It compares the token with all digests in constant time, so that
// the response time reveals nothing about them.
func (a *api) findOperator(header string) *operator {
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
