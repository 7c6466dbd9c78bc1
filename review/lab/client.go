package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Request is a client's request.
type Request struct {
	Entry, Method, Host, Path string
	Header                    map[string]string
	Body                      []byte
	Deadline                  time.Duration
}

// sentHeader carries the time at which a client sent a request, in Unix nanoseconds.
const sentHeader = "X-Sent"

// Answer is what a client got. Status is 0 without an answer.
type Answer struct {
	ID     string
	Status int
	Server string
	Body   []byte
	Err    error
}

// Send sends a request with a new attempt id on a new connection.
func Send(r Request) Answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, fmt.Sprintf("http://%s:%d%s", r.Entry, callerPort, r.Path), bytes.NewReader(r.Body))
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	req.Host = r.Host
	req.Close = true
	req.Header.Set("Bluebellfield-Attempt-Id", id)
	req.Header.Set("Bluebellfield-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	req.Header.Set(sentHeader, fmt.Sprint(time.Now().UnixNano()))
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{ID: id, Status: resp.StatusCode, Server: resp.Header.Get("Bluebellfield-Server-Seal"), Body: body, Err: err}
}
