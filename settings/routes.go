package settings

import "strings"

// routeTable maps routes to values. An exact path takes precedence over a
// prefix, a longer prefix over a shorter one, and at the same path an explicit
// method over a route for all methods.
type routeTable[T any] struct {
	exact  map[RoutePattern]T
	prefix map[RoutePattern]T
}

func addRoutes[T any](t *routeTable[T], patterns []string, value T) {
	for _, text := range patterns {
		p, ok := ParseRoute(text)
		if !ok {
			continue
		}
		m := &t.exact
		if strings.HasSuffix(p.Path, "/") {
			m = &t.prefix
		}
		if *m == nil {
			*m = map[RoutePattern]T{}
		}
		(*m)[p] = value
	}
}

func (t *routeTable[T]) lookup(method, path string) (T, bool) {
	if v, ok := lookupRoute(t.exact, method, path); ok {
		return v, true
	}
	if len(t.prefix) > 0 {
		for i := len(path); i > 0; i-- {
			if path[i-1] != '/' {
				continue
			}
			if v, ok := lookupRoute(t.prefix, method, path[:i]); ok {
				return v, true
			}
		}
	}
	var none T
	return none, false
}

func lookupRoute[T any](m map[RoutePattern]T, method, path string) (T, bool) {
	if v, ok := m[RoutePattern{Method: method, Path: path}]; ok {
		return v, true
	}
	v, ok := m[RoutePattern{Path: path}]
	return v, ok
}

// isChatCompletionsPath reports whether a path is a chat completions route,
// which a model service can also have below routes of its own.
func isChatCompletionsPath(path string) bool { return strings.HasSuffix(path, "/chat/completions") }
