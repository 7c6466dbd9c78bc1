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

// Response is the response to a request as the caller received it.
type Response struct {
	Status    int
	Outcome   fault.Outcome
	Replayed  bool
	RequestID string
	Body      string
	// Content is the text of a streamed chat completion.
	Content string
	// Complete is set if the response was complete and had status 200.
	Complete  bool
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
func (c *Caller) Stream(ctx context.Context, url, model, prompt string, tokens int) Response {
	return c.StreamChat(ctx, url, model, []string{prompt}, tokens)
}

// StreamChat is Stream for a chat of several messages.
func (c *Caller) StreamChat(ctx context.Context, url, model string, prompts []string, tokens int) Response {
	messages := make([]map[string]string, len(prompts))
	for i, prompt := range prompts {
		messages[i] = map[string]string{"role": "user", "content": prompt}
	}
	body, err := json.Marshal(map[string]any{"model": model, "stream": true, "max_tokens": tokens, "messages": messages})
	if err != nil {
		return Response{Err: err}
	}
	return c.send(ctx, http.MethodPost, url+"/v1/chat/completions", "", body, readStream)
}

// Call sends a request to a plain service. An empty key sends no idempotency key.
func (c *Caller) Call(ctx context.Context, method, url, key, body string) Response {
	return c.send(ctx, method, url, key, []byte(body), readBody)
}

func (c *Caller) send(ctx context.Context, method, url, key string, body []byte, read func(io.Reader, *Response)) Response {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{Err: err}
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
		return Response{Err: err}
	}
	defer resp.Body.Close()
	r := Response{
		Status: resp.StatusCode, Outcome: fault.Outcome(resp.Header.Get(caller.HeaderOutcome)),
		Replayed: resp.Header.Get(caller.HeaderReplayed) != "", RequestID: resp.Header.Get(caller.HeaderRequestID),
		FirstByte: time.Since(started),
	}
	if resp.StatusCode != http.StatusOK {
		read = readBody
	}
	read(resp.Body, &r)
	r.Complete = r.Complete && resp.StatusCode == http.StatusOK
	return r
}

func readBody(in io.Reader, r *Response) {
	data, err := io.ReadAll(in)
	r.Body, r.Err, r.Complete = string(data), err, err == nil
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
func readStream(in io.Reader, r *Response) {
	var content strings.Builder
	events := sse.NewReader(in, maxEventBytes)
	var e sse.Event
	for {
		if err := events.Read(&e); err != nil {
			r.Err = err
			break
		}
		if e.IsDone() {
			r.Complete = true
			break
		}
		if e.Name == "error" {
			r.Err = fmt.Errorf("stream failed: %s", e.Data)
			break
		}
		var c streamChunk
		if err := json.Unmarshal(e.Data, &c); err != nil {
			r.Err = err
			break
		}
		for _, choice := range c.Choices {
			content.WriteString(choice.Delta.Content)
		}
	}
	r.Content = content.String()
}
