package callerconn

import "net/http"

// MaxHeaderBytes bounds the header of a request before the limits in force are
// applied. It bounds the memory of a connection whose header is not complete yet.
const MaxHeaderBytes = 1 << 20

// HeaderBytes returns the size of the fields of a header as they are sent.
func HeaderBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
