package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// Limits of a request to the daemons.
const (
	// attemptTimeout is the time that one server has to answer before the next
	// one is tried.
	attemptTimeout = 5 * time.Second
	// maxRounds is the number of times that Post tries all servers.
	maxRounds        = 3
	roundDelay       = 300 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Servers are base URLs, or IP:port for plain HTTP.
	Servers []string
	Token   string
	CAFile  string
	// Pause waits before Post tries all servers again; nil means to sleep.
	Pause func(ctx context.Context, d time.Duration)
}

// Client calls the operators' API of several daemons, using the first one that
// answers.
type Client struct {
	ClientOptions
	http *http.Client
}

// NewClient returns a client with the given options.
func NewClient(o ClientOptions) (*Client, error) {
	if o.Pause == nil {
		o.Pause = sleep
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, fmt.Errorf("read CA file: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("CA file %s contains no certificate", o.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	for i, s := range o.Servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		o.Servers[i] = strings.TrimSuffix(s, "/")
	}
	return &Client{ClientOptions: o, http: &http.Client{Transport: upstream.NewAnswerChecker(transport)}}, nil
}

// APIError is an error response of a daemon.
type APIError struct {
	Server string
	Status int
	Body   operator.ErrorBody
}

// Error implements error.
func (e *APIError) Error() string {
	location := e.Server
	if e.Body.Error.Step != "" {
		location += ", step " + e.Body.Error.Step
	}
	if e.Body.Error.Peer != "" {
		location += ", peer " + e.Body.Error.Peer
	}
	return fmt.Sprintf("%s (%s; %s)", e.Body.Error.Message, e.Body.Error.Code, location)
}

// Get decodes the response for path into out. Each server is tried once.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.tryServers(ctx, attemptTimeout, http.MethodGet, path, nil, out)
}

// GetLongPoll is like Get for a path whose response may be delayed; only ctx
// limits the time.
func (c *Client) GetLongPoll(ctx context.Context, path string, out any) error {
	return c.tryServers(ctx, 0, http.MethodGet, path, nil, out)
}

// Post sends an idempotent command. It tries each server in turn, for up to
// maxRounds rounds, until one gives a definite answer.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	for round := 1; ; round++ {
		err := c.tryServers(ctx, attemptTimeout, http.MethodPost, path, body, out)
		if err == nil || !retryable(err) || round == maxRounds || ctx.Err() != nil {
			return err
		}
		c.Pause(ctx, time.Duration(round)*roundDelay)
	}
}

// tryServers sends the request to each server in turn until one gives a
// definite answer. A timeout of 0 leaves the limit to ctx.
func (c *Client) tryServers(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) error {
	var errs []error
	for _, server := range c.Servers {
		err := c.send(ctx, timeout, method, server, path, body, out)
		if err == nil || !retryable(err) {
			return err
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(errs...)
}

// retryable reports whether another server may give a definite answer: the
// connection failed, or the daemon reported a server error.
func retryable(err error) bool {
	var apiErr *APIError
	return !errors.As(err, &apiErr) || apiErr.Status >= http.StatusInternalServerError
}

func (c *Client) send(ctx context.Context, timeout time.Duration, method, server, path string, body []byte, out any) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return exitErrorf(ExitUsage, "server %q: %w", server, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if method != http.MethodGet {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response of %s: %w", server, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return newAPIError(server, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response of %s: %w", server, err)
	}
	return nil
}

func newAPIError(server string, status int, data []byte) error {
	e := &APIError{Server: server, Status: status}
	if err := json.Unmarshal(data, &e.Body); err != nil || e.Body.Error.Code == "" {
		e.Body.Error = operator.Error{Code: fault.Internal, Message: fmt.Sprintf("status %d", status)}
	}
	return e
}
