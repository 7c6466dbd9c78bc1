// Package globalstate combines the settings and claim state machines into the
// state machine of the global log.
package globalstate

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/settings"
)

// version is the first byte of every command, result and snapshot. It changes
// whenever older daemons would apply a command differently from newer ones.
const version = 1

// Kind is the second byte of a command and of its result.
type Kind byte

// Kinds of command.
const (
	KindSettings Kind = iota + 1
	KindClaim
	// KindError is the kind of the result of a command that failed.
	KindError
)

// ErrorCode is the reason why a command could not be executed.
type ErrorCode string

// Reasons why a command could not be executed.
const (
	UnknownVersion ErrorCode = "unknown_version"
	UnknownKind    ErrorCode = "unknown_kind"
	BadCommand     ErrorCode = "bad_command"
)

// CommandError is the result of a command that could not be executed. Such a
// command changes neither settings nor claims.
type CommandError struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// Error implements error.
func (e *CommandError) Error() string {
	return fmt.Sprintf("command not executed (%s): %s", e.Code, e.Message)
}

// errInvalidResult is returned for data that is not a result of the expected
// kind and version.
var errInvalidResult = errors.New("invalid result of a global log command")

// EncodeChange encodes a settings change as a command.
func EncodeChange(c settings.Change) ([]byte, error) {
	data, err := settings.EncodeChange(c)
	if err != nil {
		return nil, err
	}
	return encodeEnvelope(KindSettings, data), nil
}

// EncodeClaim encodes a claim command as a command of the global log.
func EncodeClaim(c claim.Command) []byte { return encodeEnvelope(KindClaim, claim.Encode(c)) }

func encodeEnvelope(kind Kind, payload []byte) []byte {
	return append([]byte{version, byte(kind)}, payload...)
}

// DecodeChangeResult decodes the result of a settings change. The error is a
// *CommandError if the command could not be executed.
func DecodeChangeResult(data []byte) (settings.Result, error) {
	payload, err := decodePayload(KindSettings, data)
	if err != nil {
		return settings.Result{}, err
	}
	var r settings.Result
	if err := json.Unmarshal(payload, &r); err != nil {
		return settings.Result{}, fmt.Errorf("decode result of a settings change: %w", err)
	}
	return r, nil
}

// DecodeClaimResult decodes the result of a claim command. The error is a
// *CommandError if the command could not be executed.
func DecodeClaimResult(data []byte) (claim.Result, error) {
	payload, err := decodePayload(KindClaim, data)
	if err != nil {
		return claim.Result{}, err
	}
	return claim.DecodeResult(payload)
}

// decodePayload returns the payload of a result of the expected kind.
func decodePayload(want Kind, data []byte) ([]byte, error) {
	if len(data) < 2 || data[0] != version {
		return nil, errInvalidResult
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
	return nil, errInvalidResult
}
