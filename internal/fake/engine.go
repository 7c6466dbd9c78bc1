// Package fake provides a model engine and a plain service that implement the
// upstream protocol and can inject faults. Tests, the demo, the development mode
// and the benchmarks use them in place of real upstreams.
package fake

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/sse"
	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	defaultTokens = 16
	maxBodyBytes  = 1 << 20
)

// EngineConfig configures a fake model engine.
type EngineConfig struct {
	Upstream
	// TokenDelay is the time to generate one token.
	TokenDelay time.Duration
	// IgnoreFencing makes the engine accept orders with old epochs and requests
	// for any group.
	IgnoreFencing bool
	// Handler, if set, serves chat completions in place of the engine.
	Handler http.Handler
}

// Engine is a fake model engine. Its answers depend on the request only, so that
// any engine can resume a stream of another one and tests can check that a caller
// received the complete answer to its own request.
type Engine struct {
	*Server
	cfg EngineConfig
	// refusals counts the requests that were refused with a pause.
	refusals atomic.Int64
}

// Refusals returns the number of requests that were refused with a pause.
func (e *Engine) Refusals() int { return int(e.refusals.Load()) }

// StartEngine starts an engine on a free loopback port.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	cfg.Kind = membership.ModelEngine
	e := &Engine{cfg: cfg}
	mux := http.NewServeMux()
	if cfg.Handler == nil {
		cfg.Handler = http.HandlerFunc(e.handleCompletions)
	}
	mux.Handle("POST /v1/chat/completions", cfg.Handler)
	mux.HandleFunc("POST "+upstream.PathOrders, e.handleOrder)
	server, err := startServer(cfg.Upstream, mux)
	if err != nil {
		return nil, err
	}
	e.Server = server
	return e, nil
}

// chatRequest is the part of an OpenAI chat completion request that the engine
// reads.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (r *chatRequest) prompt() string {
	if len(r.Messages) == 0 {
		return ""
	}
	return r.Messages[len(r.Messages)-1].Content
}

// contains reports whether a message contains a text.
func (r *chatRequest) contains(text string) bool {
	for _, m := range r.Messages {
		if strings.Contains(m.Content, text) {
			return true
		}
	}
	return false
}

func (r *chatRequest) tokens() int {
	if r.MaxTokens <= 0 {
		return defaultTokens
	}
	return r.MaxTokens
}

// Token returns the token at a position of the answer to a prompt. It starts with
// the first word of the prompt.
func Token(prompt string, position int) string {
	word, _, _ := strings.Cut(prompt, " ")
	return fmt.Sprintf("%s-%d ", word, position)
}

// Answer returns the complete answer to a prompt, with the given number of tokens.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) handleCompletions(w http.ResponseWriter, r *http.Request) {
	faults := e.Faults()
	e.setEchoHeaders(w, r, faults)
	var req chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.matchesGroup(r) {
		w.Header().Set(upstream.HeaderNotStarted, "true")
		http.Error(w, "the group or epoch is not in force", http.StatusConflict)
		return
	}
	if faults.Pause != "" {
		e.refusals.Add(1)
		w.Header().Set(upstream.HeaderNotStarted, "true")
		w.Header().Set("Retry-After", faults.Pause)
		http.Error(w, "no requests now", http.StatusServiceUnavailable)
		return
	}
	if faults.CrashOn != "" && req.contains(faults.CrashOn) {
		e.Kill()
		panic(http.ErrAbortHandler)
	}
	if !e.startRequest(r, req.prompt()) {
		return
	}
	defer e.finishRequest()
	if req.Stream {
		e.streamCompletion(w, r, &req, faults)
		return
	}
	e.writeCompletion(w, r, &req, faults)
}

// matchesGroup reports whether the engine is in the group and epoch that the
// request names. Requests that name no group match.
func (e *Engine) matchesGroup(r *http.Request) bool {
	group := r.Header.Get(upstream.HeaderGroup)
	if group == "" || e.cfg.IgnoreFencing {
		return true
	}
	epoch, _ := strconv.ParseUint(r.Header.Get(upstream.HeaderEpoch), 10, 64)
	current := e.InForce()
	return current.Group == group && current.Epoch == epoch
}

// setEchoHeaders returns the ids of the request and the attempt to the entry.
func (e *Engine) setEchoHeaders(w http.ResponseWriter, r *http.Request, faults Faults) {
	id := r.Header.Get(upstream.HeaderRequestID)
	if faults.WrongEcho {
		id = "other-" + id
	}
	w.Header().Set(upstream.HeaderRequestID, id)
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	if faults.Leaving {
		w.Header().Set(upstream.HeaderLeaving, "1")
	}
	if faults.RequestLimit != "" {
		w.Header().Set(upstream.HeaderRequestLimit, faults.RequestLimit)
	}
}

// completion is an OpenAI chat completion or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, req *chatRequest, faults Faults) {
	if !e.sleepRequest(r, e.cfg.TokenDelay*time.Duration(req.tokens())) {
		return
	}
	finishReason := "stop"
	promptTokens := len(strings.Fields(req.prompt()))
	body, _ := json.Marshal(completion{
		ID: r.Header.Get(upstream.HeaderRequestID), Object: "chat.completion", Model: req.Model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: Answer(req.prompt(), req.tokens())}, FinishReason: &finishReason}},
		Usage:   &usage{promptTokens, req.tokens(), promptTokens + req.tokens()},
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.TruncateAfter > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// resumeState is the content of a resume token, which is its JSON in base64.
type resumeState struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, req *chatRequest, faults Faults) {
	state, firstPosition, err := parseResume(r, req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	token, _ := json.Marshal(state)
	w.Header().Set(upstream.HeaderResumeToken, base64.RawURLEncoding.EncodeToString(token))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	var buf []byte
	for i := firstPosition; i < state.Tokens; i++ {
		if !e.sleepRequest(r, e.cfg.TokenDelay) {
			return
		}
		if faults.TruncateAfter > 0 && i-firstPosition >= faults.TruncateAfter {
			if faults.CleanTruncate {
				return
			}
			panic(http.ErrAbortHandler)
		}
		buf = e.appendEvent(buf[:0], r, req.Model, state, i)
		if faults.DuplicateEvents && i > firstPosition {
			buf = e.appendEvent(buf, r, req.Model, state, i-1)
		}
		if _, err := w.Write(buf); err != nil {
			return
		}
		_ = controller.Flush()
		e.tokens.Add(1)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// parseResume returns the prompt and length of the answer and the position of the
// first token to send. A resumed stream starts after the position that the request
// gives.
func parseResume(r *http.Request, req *chatRequest) (resumeState, int, error) {
	state := resumeState{Prompt: req.prompt(), Tokens: req.tokens()}
	token := r.Header.Get(upstream.HeaderResumeToken)
	if token == "" {
		return state, 0, nil
	}
	data, err := base64.RawURLEncoding.DecodeString(token)
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	position, parseErr := strconv.Atoi(r.Header.Get(upstream.HeaderResumePosition))
	return state, position + 1, errors.Join(err, parseErr)
}

func (e *Engine) appendEvent(buf []byte, r *http.Request, model string, state resumeState, position int) []byte {
	data, _ := json.Marshal(completion{
		ID: r.Header.Get(upstream.HeaderRequestID), Object: "chat.completion.chunk", Model: model,
		Choices: []choice{{Delta: &message{Content: Token(state.Prompt, position)}}},
	})
	return sse.Append(buf, &sse.Event{Position: int64(position), Data: data})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptOrder(order, e.cfg.Features.Fencing && !e.cfg.IgnoreFencing) {
		http.Error(w, "the epoch is older than that of an accepted order", http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(upstream.OrderResult{InForce: e.InForce()})
}
