package claim

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// kind is the first byte of an encoded command.
type kind byte

const (
	kindClaim kind = iota + 1
	kindComplete
	kindRelease
	kindAbandon
	kindExpire
)

func (Claim) kind() kind    { return kindClaim }
func (Complete) kind() kind { return kindComplete }
func (Release) kind() kind  { return kindRelease }
func (Abandon) kind() kind  { return kindAbandon }
func (Expire) kind() kind   { return kindExpire }

// Errors for encodings of the wrong length.
var (
	errTruncated     = errors.New("claim: encoding is truncated")
	errTrailingBytes = errors.New("claim: trailing bytes after the encoding")
)

// Encode returns the encoding of a command for the log.
func Encode(c Command) []byte {
	w := writer{byte(c.kind())}
	switch c := c.(type) {
	case Claim:
		w.array32(c.Key)
		w.array32(c.Body)
		w.string(c.Account)
		w.holder(c.Holder)
		w.varint(unixMillis(c.KeyTime))
		w.varint(unixMillis(c.Deadline))
		w.varint(unixMillis(c.At))
	case Complete:
		w.array32(c.Key)
		w.holder(c.Holder)
		w.bool(c.Lost)
		w.answer(&c.Answer)
		w.varint(unixMillis(c.At))
	case Release:
		w.array32(c.Key)
		w.holder(c.Holder)
		w.varint(unixMillis(c.At))
	case Abandon:
		w.string(c.Entry)
		w.uvarint(c.Before)
		w.varint(unixMillis(c.At))
	case Expire:
		w.varint(unixMillis(c.At))
	}
	return w
}

// Decode parses a command encoded by Encode.
func Decode(data []byte) (Command, error) {
	r := reader{data: data}
	var c Command
	switch k := kind(r.byte()); k {
	case kindClaim:
		c = Claim{Key: r.array32(), Body: r.array32(), Account: r.string(), Holder: r.holder(),
			KeyTime: timeFromMillis(r.varint()), Deadline: timeFromMillis(r.varint()), At: timeFromMillis(r.varint())}
	case kindComplete:
		c = Complete{Key: r.array32(), Holder: r.holder(), Lost: r.bool(), Answer: r.answer(), At: timeFromMillis(r.varint())}
	case kindRelease:
		c = Release{Key: r.array32(), Holder: r.holder(), At: timeFromMillis(r.varint())}
	case kindAbandon:
		c = Abandon{Entry: r.string(), Before: r.uvarint(), At: timeFromMillis(r.varint())}
	case kindExpire:
		c = Expire{At: timeFromMillis(r.varint())}
	default:
		return nil, fmt.Errorf("claim: unknown command kind %d", k)
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return c, nil
}

// EncodeResult returns the encoding of a result.
func EncodeResult(res Result) []byte {
	w := writer{byte(res.Code)}
	w.holder(res.Holder)
	w.varint(unixMillis(res.Deadline))
	w.bool(res.BodyStored)
	w.varint(int64(res.Count))
	w.bool(res.Answer != nil)
	if res.Answer != nil {
		w.answer(res.Answer)
	}
	return w
}

// DecodeResult parses a result encoded by EncodeResult.
func DecodeResult(data []byte) (Result, error) {
	r := reader{data: data}
	res := Result{Code: Code(r.byte()), Holder: r.holder(), Deadline: timeFromMillis(r.varint()), BodyStored: r.bool(), Count: int(r.varint())}
	if r.bool() {
		a := r.answer()
		res.Answer = &a
	}
	return res, r.finish()
}

// writer appends fields in a compact binary encoding.
type writer []byte

func (w *writer) uvarint(n uint64)     { *w = binary.AppendUvarint(*w, n) }
func (w *writer) varint(n int64)       { *w = binary.AppendVarint(*w, n) }
func (w *writer) array32(b [32]byte)   { *w = append(*w, b[:]...) }
func (w *writer) string(s string)      { w.uvarint(uint64(len(s))); *w = append(*w, s...) }
func (w *writer) bytes(b []byte)       { w.uvarint(uint64(len(b))); *w = append(*w, b...) }
func (w *writer) holder(h Holder)      { w.string(h.Entry); w.uvarint(h.Incarnation); w.string(h.Request) }
func (w *writer) field(name, v string) { w.string(name); w.string(v) }

func (w *writer) bool(b bool) {
	if b {
		*w = append(*w, 1)
	} else {
		*w = append(*w, 0)
	}
}

func (w *writer) answer(a *Answer) {
	w.varint(int64(a.Status))
	w.bool(a.BodyOmitted)
	w.uvarint(uint64(len(a.Header)))
	for _, f := range a.Header {
		w.field(f.Name, f.Value)
	}
	w.bytes(a.Body)
}

// reader parses fields written by a writer. After the first error all methods
// return zero values.
type reader struct {
	data []byte
	err  error
}

// next consumes n bytes and returns them, or nil if fewer are left.
func (r *reader) next(n uint64) []byte {
	if r.err != nil || n > uint64(len(r.data)) {
		if r.err == nil {
			r.err = errTruncated
		}
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) array32() (out [32]byte) {
	copy(out[:], r.next(32))
	return out
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if r.next(uint64(max(size, 0))); size <= 0 && r.err == nil {
		r.err = errTruncated
	}
	if r.err != nil {
		return 0
	}
	return n
}

func (r *reader) varint() int64 {
	n := r.uvarint()
	out := int64(n >> 1)
	if n&1 != 0 {
		out = ^out
	}
	return out
}

func (r *reader) string() string { return string(r.next(r.uvarint())) }
func (r *reader) bool() bool     { return r.byte() != 0 }

func (r *reader) bytes() []byte {
	b := r.next(r.uvarint())
	if len(b) == 0 {
		return nil
	}
	return append([]byte(nil), b...)
}

func (r *reader) holder() Holder {
	return Holder{Entry: r.string(), Incarnation: r.uvarint(), Request: r.string()}
}

func (r *reader) answer() Answer {
	a := Answer{Status: int(r.varint()), BodyOmitted: r.bool()}
	// A header field takes at least two bytes, so a larger count is corrupt.
	n := r.uvarint()
	if n > uint64(len(r.data))/2 {
		r.next(uint64(len(r.data)) + 1) // sets errTruncated
		return a
	}
	for range n {
		a.Header = append(a.Header, Field{Name: r.string(), Value: r.string()})
	}
	a.Body = r.bytes()
	return a
}

// finish returns the first error, or errTrailingBytes if data is left.
func (r *reader) finish() error {
	if r.err == nil && len(r.data) > 0 {
		return errTrailingBytes
	}
	return r.err
}
