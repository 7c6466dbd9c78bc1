package settings

import (
	"regexp"
	"strconv"
	"strings"
)

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	routePattern  = regexp.MustCompile(`^/[^\s?#*]*$`)
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)
)

// accepted describes the format for error messages and the reference page.
func (i ItemFormat) accepted() string {
	switch i {
	case ItemDigest:
		return "a SHA-256 digest of 64 lower-case hex digits"
	case ItemRoute:
		return `a route such as "POST /orders" or "/images/"`
	case ItemNotStartedResponse:
		return `a status from 400 to 599, optionally with a header, such as "503" or "409 Bluebell-Not-Started: true"`
	case ItemHeader:
		return "the name of a header"
	case ItemName:
		return "a name of letters, digits and ._:/@- that starts with a letter or digit"
	case ItemService:
		return "the id of a service, or an empty string"
	}
	return "a string of up to " + strconv.Itoa(maxItemLength) + " bytes"
}

func (i ItemFormat) matches(s string) bool {
	if len(s) > maxItemLength {
		return false
	}
	switch i {
	case ItemDigest:
		return digestPattern.MatchString(s)
	case ItemRoute:
		_, ok := ParseRoute(s)
		return ok
	case ItemNotStartedResponse:
		_, ok := ParseNotStartedResponse(s)
		return ok
	case ItemHeader:
		return headerPattern.MatchString(s)
	case ItemName:
		return namePattern.MatchString(s)
	case ItemService:
		return validID(s)
	}
	return true
}

// RoutePattern matches requests by method and path. An empty method matches
// every method; a path that ends in '/' matches all paths with that prefix.
type RoutePattern struct {
	Method string
	Path   string
}

// ParseRoute parses a route such as "POST /orders".
func ParseRoute(s string) (RoutePattern, bool) {
	method, path, found := strings.Cut(s, " ")
	if !found {
		method, path = "", s
	}
	if found && !methodPattern.MatchString(method) || !routePattern.MatchString(path) {
		return RoutePattern{}, false
	}
	return RoutePattern{Method: method, Path: path}, true
}

// NotStartedResponse matches responses that prove that an upstream did not
// start a request.
type NotStartedResponse struct {
	Status int
	// Header is empty if the status alone is sufficient.
	Header string
	Value  string
}

// ParseNotStartedResponse parses a value such as "409 Bluebell-Not-Started:
// true".
func ParseNotStartedResponse(s string) (NotStartedResponse, bool) {
	status, rest, hasHeader := strings.Cut(s, " ")
	code, err := strconv.Atoi(status)
	if err != nil || len(status) != 3 || code < 400 || code > 599 {
		return NotStartedResponse{}, false
	}
	if !hasHeader {
		return NotStartedResponse{Status: code}, true
	}
	header, value, ok := strings.Cut(rest, ": ")
	if !ok || !headerPattern.MatchString(header) || value == "" || strings.TrimSpace(value) != value {
		return NotStartedResponse{}, false
	}
	return NotStartedResponse{Status: code, Header: header, Value: value}, true
}
