package serving

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/sse"
)

const maxEventBytes = 64 << 10

// caller sends requests over connections that are kept open.
type caller struct {
	url    string
	model  string
	client *http.Client
}

// timing is what was seen of one answer.
type timing struct{ first, total time.Duration }

func newCaller(url, model string) caller {
	return caller{url, model, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrent, DisableCompression: true}}}
}

func (c caller) close() { c.client.CloseIdleConnections() }

func (c caller) send(ctx context.Context, tokens int, stream bool) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": c.model, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": "wash the rug in the morning"}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp, nil
}

// stream asks for a streamed answer and counts its tokens.
func (c caller) stream(ctx context.Context, tokens int) (timing, error) {
	started := time.Now()
	resp, err := c.send(ctx, tokens, true)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	var t timing
	in := sse.NewReader(resp.Body, maxEventBytes)
	var e sse.Event
	for got := 0; ; got++ {
		if err := in.Read(&e); err != nil {
			return t, err
		}
		if got == 0 {
			t.first = time.Since(started)
		}
		if e.IsDone() {
			if got != tokens {
				return t, fmt.Errorf("the answer has %d tokens instead of %d", got, tokens)
			}
			break
		}
	}
	t.total = time.Since(started)
	// Reading to the end lets the connection be used again.
	_, err = io.Copy(io.Discard, resp.Body)
	return t, err
}

// whole asks for an answer in one piece.
func (c caller) whole(ctx context.Context, tokens int) (timing, error) {
	started := time.Now()
	resp, err := c.send(ctx, tokens, false)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return timing{total: time.Since(started)}, err
}
