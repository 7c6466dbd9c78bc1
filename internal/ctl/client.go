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
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// Bounds of a request to the daemons.
const (
	// tryTimeout is the longest time that one server has for an answer before
	// the next is tried.
	tryTimeout = 5 * time.Second
	// commandRounds is how often a command goes round all servers.
	commandRounds = 3
	roundPause    = 300 * time.Millisecond
	maxAnswer     = 64 << 20
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Servers are base URLs, or IP:port for plain HTTP.
	Servers []string
	Token   string
	CAFile  string
	// Pause waits between rounds over the servers.
	Pause func(ctx context.Context, d time.Duration)
}

// Client calls the operators' API of the first daemon that answers.
type Client struct {
	ClientOptions
	http *http.Client
}

// NewClient returns a client.
func NewClient(o ClientOptions) (*Client, error) {
	if o.Pause == nil {
		o.Pause = sleep
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, fmt.Errorf("read certificates: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", o.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	for i, s := range o.Servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		o.Servers[i] = strings.TrimSuffix(s, "/")
	}
	return &Client{ClientOptions: o, http: &http.Client{Transport: transport}}, nil
}

// APIError is an answer of a daemon that is an error.
type APIError struct {
	Server string
	Status int
	Body   operator.ErrorBody
}

// Error implements error.
func (e *APIError) Error() string {
	at := e.Server
	if e.Body.Error.Step != "" {
		at += ", step " + e.Body.Error.Step
	}
	if e.Body.Error.Peer != "" {
		at += ", peer " + e.Body.Error.Peer
	}
	return fmt.Sprintf("%s (%s; %s)", e.Body.Error.Message, e.Body.Error.Code, at)
}

// Get reads path into out, from the first server that answers.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.round(ctx, tryTimeout, http.MethodGet, path, nil, out)
}

// GetSlow reads a path whose answer may take as long as ctx.
func (c *Client) GetSlow(ctx context.Context, path string, out any) error {
	return c.round(ctx, 0, http.MethodGet, path, nil, out)
}

// Post sends a command that may arrive more than once. It is sent to the next
// server, and round all servers again, until one answers for certain.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode the request: %w", err)
	}
	for round := 1; ; round++ {
		err := c.round(ctx, tryTimeout, http.MethodPost, path, body, out)
		if err == nil || !again(err) || round == commandRounds || ctx.Err() != nil {
			return err
		}
		c.Pause(ctx, time.Duration(round)*roundPause)
	}
}

// round tries each server once.
func (c *Client) round(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) error {
	var errs []error
	for _, server := range c.Servers {
		err := c.try(ctx, timeout, method, server, path, body, out)
		if err == nil || !again(err) {
			return err
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(errs...)
}

// again reports whether another server may give a better answer: when the
// connection failed, or the daemon could not decide.
func again(err error) bool {
	var answer *APIError
	return !errors.As(err, &answer) || answer.Status >= http.StatusInternalServerError
}

func (c *Client) try(ctx context.Context, timeout time.Duration, method, server, path string, body []byte, out any) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return exit(ExitUsage, "server %q: %w", server, err)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("read the answer of %s: %w", server, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return answerError(server, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode the answer of %s: %w", server, err)
	}
	return nil
}

func answerError(server string, status int, data []byte) error {
	e := &APIError{Server: server, Status: status}
	if err := json.Unmarshal(data, &e.Body); err != nil || e.Body.Error.Code == "" {
		e.Body.Error = operator.Error{Code: fault.Internal, Message: fmt.Sprintf("status %d", status)}
	}
	return e
}
