package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

// minKeyTime is the earliest plausible creation time of a key. ULIDs have
// existed since 2016, so a key with an earlier time is not a ULID or UUIDv7 but
// only has the same format.
var minKeyTime = time.Date(2016, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	uuidLength        = 36
	ulidLength        = 26
	crockfordAlphabet = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

// KeyTime returns the creation time that a UUIDv7 or ULID encodes, or the zero
// time for any other key.
func KeyTime(key string) time.Time {
	var ms int64
	var ok bool
	switch len(key) {
	case uuidLength:
		ms, ok = uuidMillis(key)
	case ulidLength:
		ms, ok = ulidMillis(key)
	}
	at := time.UnixMilli(ms).UTC()
	if !ok || at.Before(minKeyTime) {
		return time.Time{}
	}
	return at
}

func uuidMillis(key string) (int64, bool) {
	if key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' || key[14] != '7' || !strings.ContainsRune("89abAB", rune(key[19])) {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return 0, false
	}
	ms := int64(0)
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

func ulidMillis(key string) (int64, bool) {
	const timeDigits = 10
	ms := int64(0)
	for i := range ulidLength {
		digit := strings.IndexByte(crockfordAlphabet, upper(key[i]))
		if digit < 0 || i == 0 && digit > 7 {
			return 0, false
		}
		if i < timeDigits {
			ms = ms<<5 | int64(digit)
		}
	}
	return ms, true
}

func upper(c byte) byte {
	if c >= 'a' && c <= 'z' {
		return c - 'a' + 'A'
	}
	return c
}
