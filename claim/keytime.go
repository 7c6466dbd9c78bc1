package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

// firstKeyTime is the earliest time that is read from a key. ULIDs did not
// exist before 2016; an earlier time is that of a key that only looks like
// one.
var firstKeyTime = time.Date(2016, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	uuidLength = 36
	ulidLength = 26
	crockford  = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

// KeyTime returns the time of creation that a UUIDv7 or ULID encodes, the zero
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
	if !ok || at.Before(firstKeyTime) {
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
		digit := strings.IndexByte(crockford, upper(key[i]))
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
