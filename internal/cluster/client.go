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

// Answer is the response to a request as the caller received it.
type Answer struct {
	Status    int
	Outcome   fault.Outcome
	Replayed  bool
	RequestID string
	Body      string
	// Content is the text of a streamed chat completion.
	Content string
	// Whole is set if the response was complete and had status 200.
	Whole     bool
	FirstByte time.Duration
	Err       error
}

// Caller sends requests with the key of a client account. A nil Client selects
// http.DefaultClient.
type Caller struct {
	Key    string
	Client *http.Client
}

// Stream requests a streamed chat completion of a number of tokens. The url is that
// of the entry, without a path.
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

// Call sends a request to a plain service. An empty key sends no idempotency key.
func (c *Caller) Call(ctx context.Context, method, url, key, body string) Answer {
	return c.send(ctx, method, url, key, []byte(body), readBody)
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
		read = readBody
	}
	read(resp.Body, &a)
	a.Whole = a.Whole && resp.StatusCode == http.StatusOK
	return a
}

func readBody(in io.Reader, a *Answer) {
	data, err := io.ReadAll(in)
	a.Body, a.Err, a.Whole = string(data), err, err == nil
}

// streamChunk is the part of a stream event that Caller decodes.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a stream up to its end marker or the first error.
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
			a.Err = fmt.Errorf("stream failed: %s", e.Data)
			break
		}
		var c streamChunk
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
