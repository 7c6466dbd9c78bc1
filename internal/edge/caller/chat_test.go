package caller

import (
	"crypto/sha256"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against messages that are hashed or counted differently from their text, and
// against values of "messages" that are no list of messages.
func TestChatMessages(t *testing.T) {
	part := func(text string) [32]byte { return sha256.Sum256([]byte(text)) }
	long := strings.Repeat("x", maxPromptBytes)
	for _, c := range []struct {
		name, messages, prompt string
		bytes                  int
		parts                  [][32]byte
	}{
		{"none", `[]`, "", 0, nil},
		{"null", `null`, "", 0, nil},
		{"one", `[{"role":"user","content":"a"}]`, "user\n\"a\"", 8, [][32]byte{}},
		{"content before the role", `[{"content":[1, 2],"role":"u"},{}]`, "u\n[1, 2]\n", 9, [][32]byte{part("u\n[1, 2]")}},
		{"null message", `[null,{"role":"u"}]`, "\nu\n", 3, [][32]byte{part("\n")}},
		{"long", `[{"role":"u","content":"` + long + `"},{}]`, `u` + "\n" + `"` + long[:maxPromptBytes-3], maxPromptBytes + 5, [][32]byte{part("u\n\"" + long + `"`)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var chat chatRequest
			require.NoError(t, json.Unmarshal([]byte(`{"messages":`+c.messages+`}`), &chat))
			require.Equal(t, c.prompt, string(chat.Messages.prompt))
			require.Equal(t, c.bytes, chat.Messages.bytes)
			require.Equal(t, c.parts, chat.Messages.parts)
		})
	}
	var many chatRequest
	require.NoError(t, json.Unmarshal([]byte(`{"messages":[`+strings.Repeat(`{},`, 100)+`{}]}`), &many))
	require.Len(t, many.Messages.parts, maxSharedParts)
	for _, invalid := range []string{`5`, `"text"`, `{}`, `[5]`, `[{"role":5}]`} {
		require.Error(t, json.Unmarshal([]byte(`{"messages":`+invalid+`}`), &chatRequest{}), invalid)
	}
}
