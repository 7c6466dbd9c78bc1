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

// errTruncated and errTrailing report an encoding of the wrong length.
var (
	errTruncated = errors.New("claim: encoding is truncated")
	errTrailing  = errors.New("claim: bytes follow the encoding")
)

// Encode returns a command for the log.
func Encode(c Command) []byte {
	w := writer{byte(c.kind())}
	switch c := c.(type) {
	case Claim:
		w.fixed(c.Key)
		w.fixed(c.Body)
		w.text(c.Account)
		w.holder(c.Holder)
		w.integer(millis(c.KeyTime))
		w.integer(millis(c.Deadline))
		w.integer(millis(c.At))
	case Complete:
		w.fixed(c.Key)
		w.holder(c.Holder)
		w.flag(c.Lost)
		w.answer(&c.Answer)
		w.integer(millis(c.At))
	case Release:
		w.fixed(c.Key)
		w.holder(c.Holder)
		w.integer(millis(c.At))
	case Abandon:
		w.text(c.Entry)
		w.number(c.Before)
		w.integer(millis(c.At))
	case Expire:
		w.integer(millis(c.At))
	}
	return w
}

// Decode reads a command that Encode wrote.
func Decode(data []byte) (Command, error) {
	r := reader{data: data}
	var c Command
	switch k := kind(r.byte()); k {
	case kindClaim:
		c = Claim{Key: r.fixed(), Body: r.fixed(), Account: r.text(), Holder: r.holder(),
			KeyTime: fromMillis(r.integer()), Deadline: fromMillis(r.integer()), At: fromMillis(r.integer())}
	case kindComplete:
		c = Complete{Key: r.fixed(), Holder: r.holder(), Lost: r.flag(), Answer: r.answer(), At: fromMillis(r.integer())}
	case kindRelease:
		c = Release{Key: r.fixed(), Holder: r.holder(), At: fromMillis(r.integer())}
	case kindAbandon:
		c = Abandon{Entry: r.text(), Before: r.number(), At: fromMillis(r.integer())}
	case kindExpire:
		c = Expire{At: fromMillis(r.integer())}
	default:
		return nil, fmt.Errorf("claim: unknown command kind %d", k)
	}
	if err := r.end(); err != nil {
		return nil, err
	}
	return c, nil
}

// EncodeResult returns the encoding of a result.
func EncodeResult(res Result) []byte {
	w := writer{byte(res.Code)}
	w.holder(res.Holder)
	w.integer(millis(res.Deadline))
	w.flag(res.BodyStored)
	w.integer(int64(res.Count))
	w.flag(res.Answer != nil)
	if res.Answer != nil {
		w.answer(res.Answer)
	}
	return w
}

// DecodeResult reads a result that EncodeResult wrote.
func DecodeResult(data []byte) (Result, error) {
	r := reader{data: data}
	res := Result{Code: Code(r.byte()), Holder: r.holder(), Deadline: fromMillis(r.integer()), BodyStored: r.flag(), Count: int(r.integer())}
	if r.flag() {
		a := r.answer()
		res.Answer = &a
	}
	return res, r.end()
}

// writer appends fields in a compact form.
type writer []byte

func (w *writer) number(n uint64)      { *w = binary.AppendUvarint(*w, n) }
func (w *writer) integer(n int64)      { *w = binary.AppendVarint(*w, n) }
func (w *writer) fixed(b [32]byte)     { *w = append(*w, b[:]...) }
func (w *writer) text(s string)        { w.number(uint64(len(s))); *w = append(*w, s...) }
func (w *writer) bytes(b []byte)       { w.number(uint64(len(b))); *w = append(*w, b...) }
func (w *writer) holder(h Holder)      { w.text(h.Entry); w.number(h.Incarnation); w.text(h.Request) }
func (w *writer) field(name, v string) { w.text(name); w.text(v) }

func (w *writer) flag(b bool) {
	if b {
		*w = append(*w, 1)
	} else {
		*w = append(*w, 0)
	}
}

func (w *writer) answer(a *Answer) {
	w.integer(int64(a.Status))
	w.flag(a.BodyOmitted)
	w.number(uint64(len(a.Header)))
	for _, f := range a.Header {
		w.field(f.Name, f.Value)
	}
	w.bytes(a.Body)
}

// reader reads the fields of a writer. After the first error it returns zero
// values.
type reader struct {
	data []byte
	err  error
}

func (r *reader) take(n uint64) []byte {
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
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) fixed() (out [32]byte) {
	copy(out[:], r.take(32))
	return out
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.data)
	if r.take(uint64(max(size, 0))); size <= 0 && r.err == nil {
		r.err = errTruncated
	}
	if r.err != nil {
		return 0
	}
	return n
}

func (r *reader) integer() int64 {
	n := r.number()
	out := int64(n >> 1)
	if n&1 != 0 {
		out = ^out
	}
	return out
}

func (r *reader) text() string { return string(r.take(r.number())) }
func (r *reader) flag() bool   { return r.byte() != 0 }

func (r *reader) bytes() []byte {
	b := r.take(r.number())
	if len(b) == 0 {
		return nil
	}
	return append([]byte(nil), b...)
}

func (r *reader) holder() Holder {
	return Holder{Entry: r.text(), Incarnation: r.number(), Request: r.text()}
}

func (r *reader) answer() Answer {
	a := Answer{Status: int(r.integer()), BodyOmitted: r.flag()}
	// Each field takes at least two bytes, which bounds a corrupt count.
	n := r.number()
	if n > uint64(len(r.data))/2 {
		r.take(uint64(len(r.data)) + 1)
		return a
	}
	for range n {
		a.Header = append(a.Header, Field{Name: r.text(), Value: r.text()})
	}
	a.Body = r.bytes()
	return a
}

func (r *reader) end() error {
	if r.err == nil && len(r.data) > 0 {
		return errTrailing
	}
	return r.err
}
