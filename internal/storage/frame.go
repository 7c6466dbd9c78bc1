package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/bluebellfield/bluebellfield/consensus"
)

// A segment is a header followed by frames. A frame holds the records of one
// Save and is synced before the next frame is written, so that only the last
// frame of the last segment can be torn.
//
//	frame:  payload length (4) | CRC32-C of the payload (4) | CRC32-C of the 8 bytes before (4) | payload
//	record: kind (1) | length (uvarint) | content
//
// The frame header has its own checksum, which distinguishes a corrupt length
// from a truncated frame.
const (
	frameHeaderSize = 12
	// sectorSize is the unit that a disk writes atomically, in bytes.
	sectorSize = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func updateChecksum(sum uint32, b []byte) uint32 { return crc32.Update(sum, castagnoli, b) }

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

type recordKind byte

const (
	recordHardState recordKind = iota + 1
	recordEntry
	// recordReset means that the log continues after an installed snapshot. All
	// earlier entries are discarded.
	recordReset
)

func appendFrame(buf, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, checksum(payload))
	buf = binary.LittleEndian.AppendUint32(buf, checksum(buf[start:]))
	return append(buf, payload...)
}

type frameState int

const (
	frameValid     frameState = iota
	frameTruncated            // the file ends before the frame does
	frameCorrupt              // a checksum does not match
)

// readFrame parses the frame at an offset and returns its payload and the offset
// of the next frame. That offset is the end of data if the length is not usable.
func readFrame(data []byte, offset int) (payload []byte, next int, state frameState) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize {
		return nil, len(data), frameTruncated
	}
	if binary.LittleEndian.Uint32(rest[8:]) != checksum(rest[:8]) {
		return nil, len(data), frameCorrupt
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if length > len(rest)-frameHeaderSize {
		return nil, len(data), frameTruncated
	}
	next = offset + frameHeaderSize + length
	payload = data[offset+frameHeaderSize : next]
	if checksum(payload) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, next, frameCorrupt
	}
	return payload, next, frameValid
}

// isTornWrite reports whether the invalid frame at offset is a write that a
// crash interrupted, rather than a synced frame that was damaged: no valid frame
// follows, and it is truncated or has an unwritten sector.
func isTornWrite(data []byte, offset, end int, state frameState) bool {
	for next := offset + 1; next+frameHeaderSize < len(data); next++ {
		if _, _, state := readFrame(data, next); state == frameValid {
			return false
		}
	}
	return state == frameTruncated || hasUnwrittenSector(data, offset, end)
}

// hasUnwrittenSector reports whether any sector, or part of one, in data[from:to]
// contains only zeros. This happens when a crash comes after the file was
// extended but before the sector was written.
func hasUnwrittenSector(data []byte, from, to int) bool {
	for from < to {
		end := min((from/sectorSize+1)*sectorSize, to)
		zero := true
		for _, b := range data[from:end] {
			zero = zero && b == 0
		}
		if zero {
			return true
		}
		from = end
	}
	return false
}

func appendRecord(buf []byte, kind recordKind, content []byte) []byte {
	buf = append(buf, byte(kind))
	buf = binary.AppendUvarint(buf, uint64(len(content)))
	return append(buf, content...)
}

var errShortRecord = errors.New("record is shorter than its content")

// forEachRecord calls f for each record of a payload.
func forEachRecord(payload []byte, f func(kind recordKind, content []byte) error) error {
	for len(payload) > 0 {
		length, n := binary.Uvarint(payload[1:])
		if n <= 0 || length > uint64(len(payload)-1-n) {
			return errShortRecord
		}
		content := payload[1+n : 1+n+int(length)]
		if err := f(recordKind(payload[0]), content); err != nil {
			return err
		}
		payload = payload[1+n+int(length):]
	}
	return nil
}

func encodeEntry(e consensus.Entry) []byte {
	buf := make([]byte, 0, len(e.Data)+2*binary.MaxVarintLen64+1)
	buf = binary.AppendUvarint(buf, e.Index)
	buf = binary.AppendUvarint(buf, e.Term)
	buf = append(buf, byte(e.Kind))
	return append(buf, e.Data...)
}

func decodeEntry(content []byte) (consensus.Entry, error) {
	var e consensus.Entry
	rest, err := readUvarints(content, &e.Index, &e.Term)
	if err != nil || len(rest) == 0 {
		return e, errShortRecord
	}
	e.Kind = consensus.EntryKind(rest[0])
	// Nil and empty Data are encoded alike and decode to nil.
	if len(rest) > 1 {
		e.Data = rest[1:]
	}
	return e, nil
}

func encodeHardState(h consensus.HardState) []byte {
	buf := binary.AppendUvarint(nil, h.Term)
	buf = binary.AppendUvarint(buf, h.Commit)
	buf = binary.AppendUvarint(buf, h.Vote.Storage)
	return append(buf, h.Vote.Instance...)
}

func decodeHardState(content []byte) (consensus.HardState, error) {
	var h consensus.HardState
	rest, err := readUvarints(content, &h.Term, &h.Commit, &h.Vote.Storage)
	h.Vote.Instance = string(rest)
	return h, err
}

// readUvarints decodes values from the start of content and returns the rest.
func readUvarints(content []byte, values ...*uint64) ([]byte, error) {
	for _, value := range values {
		v, n := binary.Uvarint(content)
		if n <= 0 {
			return nil, errShortRecord
		}
		*value, content = v, content[n:]
	}
	return content, nil
}
