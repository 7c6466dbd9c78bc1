// Package globalstate combines the state machines of the global log, settings
// and claims, into one that a replica can run.
package globalstate

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/settings"
)

// version is the first byte of every command, result and snapshot. It changes
// when an older daemon could not decide a command as a newer one does.
const version = 1

// Kind is the second byte of a command and of its result.
type Kind byte

// Kinds of command.
const (
	KindSettings Kind = iota + 1
	KindClaim
	// KindError is the kind of the result of a command that was not decided.
	KindError
)

// ErrorCode is why a command was not decided.
type ErrorCode string

// Reasons for an undecided command.
const (
	UnknownVersion ErrorCode = "unknown_version"
	UnknownKind    ErrorCode = "unknown_kind"
	BadCommand     ErrorCode = "bad_command"
)

// CommandError is the result of a command that was not decided. The state is
// unchanged.
type CommandError struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// Error implements error.
func (e *CommandError) Error() string {
	return fmt.Sprintf("command not decided (%s): %s", e.Code, e.Message)
}

// errResult reports an answer that no version of this package wrote.
var errResult = errors.New("not a result of the global state")

// EncodeChange returns a settings change as a command.
func EncodeChange(c settings.Change) ([]byte, error) {
	data, err := settings.EncodeChange(c)
	if err != nil {
		return nil, err
	}
	return envelope(KindSettings, data), nil
}

// EncodeClaim returns a claim command as a command.
func EncodeClaim(c claim.Command) []byte { return envelope(KindClaim, claim.Encode(c)) }

func envelope(kind Kind, payload []byte) []byte {
	return append([]byte{version, byte(kind)}, payload...)
}

// DecodeChangeResult reads the result of a settings change. The error is a
// *CommandError when the command was not decided.
func DecodeChangeResult(data []byte) (settings.Result, error) {
	payload, err := open(KindSettings, data)
	if err != nil {
		return settings.Result{}, err
	}
	var r settings.Result
	if err := json.Unmarshal(payload, &r); err != nil {
		return settings.Result{}, fmt.Errorf("decode result of a settings change: %w", err)
	}
	return r, nil
}

// DecodeClaimResult reads the result of a claim command. The error is a
// *CommandError when the command was not decided.
func DecodeClaimResult(data []byte) (claim.Result, error) {
	payload, err := open(KindClaim, data)
	if err != nil {
		return claim.Result{}, err
	}
	return claim.DecodeResult(payload)
}

// open returns the payload of a result of the wanted kind.
func open(want Kind, data []byte) ([]byte, error) {
	if len(data) < 2 || data[0] != version {
		return nil, errResult
	}
	switch payload := data[2:]; Kind(data[1]) {
	case want:
		return payload, nil
	case KindError:
		var e CommandError
		if err := json.Unmarshal(payload, &e); err != nil {
			return nil, fmt.Errorf("decode command error: %w", err)
		}
		return nil, &e
	}
	return nil, errResult
}
