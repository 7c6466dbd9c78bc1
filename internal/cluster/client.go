package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/sse"
)

const maxEventBytes = 1 << 20

// Answer is what a caller saw of one request.
type Answer struct {
	Status    int
	Outcome   fault.Outcome
	Replayed  bool
	RequestID string
	Body      string
	// Content joins the tokens of a streamed or whole chat completion.
	Content string
	// Whole is set when the answer was complete.
	Whole     bool
	FirstByte time.Duration
	Err       error
}

// Caller sends requests as a client account.
type Caller struct {
	Key    string
	Client *http.Client
}

// Stream asks for a streamed chat completion.
func (c *Caller) Stream(ctx context.Context, url, model, prompt string, tokens int) Answer {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return Answer{Err: err}
	}
	return c.send(ctx, http.MethodPost, url+"/v1/chat/completions", "", body, readStream)
}

// Call sends a request to a plain service, with an idempotency key unless it is
// empty.
func (c *Caller) Call(ctx context.Context, method, url, key, body string) Answer {
	return c.send(ctx, method, url, key, []byte(body), readWhole)
}

func (c *Caller) send(ctx context.Context, method, url, key string, body []byte, read func(io.Reader, *Answer)) Answer {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := c.Client
	if client == nil {
		client = http.DefaultClient
	}
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	a := Answer{
		Status: resp.StatusCode, Outcome: fault.Outcome(resp.Header.Get(caller.HeaderOutcome)),
		Replayed: resp.Header.Get(caller.HeaderReplayed) != "", RequestID: resp.Header.Get(caller.HeaderRequestID),
		FirstByte: time.Since(started),
	}
	if resp.StatusCode != http.StatusOK {
		read = readWhole
	}
	read(resp.Body, &a)
	a.Whole = a.Whole && resp.StatusCode == http.StatusOK
	return a
}

func readWhole(in io.Reader, a *Answer) {
	data, err := io.ReadAll(in)
	a.Body, a.Err, a.Whole = string(data), err, err == nil
}

// chunk is the part of a stream event that the caller reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readStream(in io.Reader, a *Answer) {
	var content strings.Builder
	events := sse.NewReader(in, maxEventBytes)
	var e sse.Event
	for {
		if err := events.Read(&e); err != nil {
			a.Err = err
			break
		}
		if e.IsDone() {
			a.Whole = true
			break
		}
		if e.Name == "error" {
			a.Err = fmt.Errorf("stream ended: %s", e.Data)
			break
		}
		var c chunk
		if err := json.Unmarshal(e.Data, &c); err != nil {
			a.Err = err
			break
		}
		for _, choice := range c.Choices {
			content.WriteString(choice.Delta.Content)
		}
	}
	a.Content = content.String()
}
