package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"

	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

const (
	// chatPath is the OpenAI chat completions route.
	chatPath = "/v1/chat/completions"
	// defaultMaxTokens is the assumed length of an answer whose request does not
	// set max_tokens.
	defaultMaxTokens = 256
	// maxSharedParts limits the messages of a chat that quarantine tracks. Long
	// chats share the first ones.
	maxSharedParts = 16
	// maxPromptBytes is the length of the start of a prompt by which the caches of
	// engines are looked up.
	maxPromptBytes = 32 << 10
	// bytesPerToken is the approximate length of a token in English text.
	bytesPerToken = 4
	// maxLargeParses limits the large chats that are parsed at the same time.
	// Parsing takes several times the memory of a body, for a few milliseconds.
	maxLargeParses = 2
)

// chatRequest holds the fields of a chat completion request that the entry
// instance uses.
type chatRequest struct {
	Model               string       `json:"model"`
	Stream              bool         `json:"stream"`
	MaxTokens           int          `json:"max_tokens"`
	MaxCompletionTokens int          `json:"max_completion_tokens"`
	Messages            chatMessages `json:"messages"`
}

// chatMessages is what is kept of the messages of a chat. The messages themselves may
// take many times the memory of the body.
type chatMessages struct {
	// prompt is the start of the text, bytes the length of the whole text.
	prompt []byte
	bytes  int
	// parts are the hashes of the first messages other than the last.
	parts [][32]byte
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	*m = chatMessages{}
	if data[0] != '[' {
		// An error for what is no list, nothing for null.
		return json.Unmarshal(data, &[]json.RawMessage{})
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return err
	}
	count := 0
	for ; decoder.More(); count++ {
		var message struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		}
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		m.add(message.Role, message.Content)
	}
	if count > 0 && len(m.parts) == count {
		m.parts = m.parts[:count-1]
	}
	return nil
}

// add adds a message.
func (m *chatMessages) add(role string, content []byte) {
	for _, text := range [][]byte{[]byte(role), []byte("\n"), content} {
		m.bytes += len(text)
		m.prompt = append(m.prompt, text[:min(len(text), maxPromptBytes-len(m.prompt))]...)
	}
	if len(m.parts) < maxSharedParts {
		part := sha256.New()
		part.Write([]byte(role + "\n"))
		part.Write(content)
		m.parts = append(m.parts, [32]byte(part.Sum(nil)))
	}
}

// tokens returns the approximate number of tokens of the prompt.
func (m *chatMessages) tokens() int { return m.bytes / bytesPerToken }

// parseChat parses the body of a chat completion request. Other requests are left
// alone.
func (x *exchange) parseChat(ctx context.Context) error {
	if x.r.URL.Path != chatPath {
		return nil
	}
	at := fault.Location{Step: StepRead}
	if x.body.Size() > bodybudget.SmallBytes {
		select {
		case x.parsing <- struct{}{}:
			defer func() { <-x.parsing }()
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), contextErrorCode(ctx.Err()), at, fault.NotRun)
		}
	}
	if err := json.Unmarshal(x.body.Bytes(), &x.chat); err != nil {
		return fault.Wrap(err, fault.BadRequest, at, fault.NotRun)
	}
	x.info.Model = x.chat.Model
	x.info.Tokens = defaultMaxTokens
	if n := max(x.chat.MaxTokens, x.chat.MaxCompletionTokens); n > 0 {
		x.info.Tokens = n
	}
	x.info.Prompt, x.info.Parts = string(x.chat.Messages.prompt), x.chat.Messages.parts
	x.info.Tokens += x.chat.Messages.tokens()
	return nil
}
