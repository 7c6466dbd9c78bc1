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

// caller sends requests over persistent connections.
type caller struct {
	url    string
	model  string
	client *http.Client
}

// timing holds the time to the first token and to the end of one answer. The
// first is zero for answers that are not streamed.
type timing struct{ firstToken, total time.Duration }

func newCaller(url, model string) caller {
	return caller{url, model, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: engineMaxConcurrent, DisableCompression: true}}}
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
	req.Header.Set("Authorization", "Bearer "+callerKey)
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

// stream requests a streamed answer and checks its number of tokens.
func (c caller) stream(ctx context.Context, tokens int) (timing, error) {
	started := time.Now()
	resp, err := c.send(ctx, tokens, true)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	var t timing
	events := sse.NewReader(resp.Body, maxEventBytes)
	var e sse.Event
	for tokenCount := 0; ; tokenCount++ {
		if err := events.Read(&e); err != nil {
			return t, err
		}
		if tokenCount == 0 {
			t.firstToken = time.Since(started)
		}
		if e.IsDone() {
			if tokenCount != tokens {
				return t, fmt.Errorf("answer has %d tokens, expected %d", tokenCount, tokens)
			}
			break
		}
	}
	t.total = time.Since(started)
	// The connection can be reused only if the body has been read to the end.
	_, err = io.Copy(io.Discard, resp.Body)
	return t, err
}

// nonStreaming requests an answer that is not streamed.
func (c caller) nonStreaming(ctx context.Context, tokens int) (timing, error) {
	started := time.Now()
	resp, err := c.send(ctx, tokens, false)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return timing{total: time.Since(started)}, err
}
