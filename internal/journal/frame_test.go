package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"testing"
)

// Other releases read these frames, so literal values fix the format here. A frame is invalid with a flipped bit, at
// another offset, or with another salt.
func TestFrameFormat(t *testing.T) {
	t.Parallel()
	const salt, at = 0x0123456789abcdef, 7
	frame := append(appendFrameHeader(nil), "123456789"...)
	fillFrameHeader(frame, salt, at)
	const check = 0xe3069283 // CRC-32C of "123456789", the check value of its definition (RFC 3720, B.4, has others)
	if n := binary.LittleEndian.Uint32(frame); n != 9 {
		t.Errorf("length %d", n)
	}
	if got := binary.LittleEndian.Uint32(frame[4:]); got != check {
		t.Errorf("payload checksum %#x, want %#x", got, check)
	}
	head := binary.LittleEndian.AppendUint64(nil, salt)
	head = append(binary.LittleEndian.AppendUint64(head, at), frame[:8]...)
	if got, want := binary.LittleEndian.Uint32(frame[8:]), crc32.Checksum(head, crc32.MakeTable(crc32.Castagnoli)); got != want {
		t.Errorf("header checksum %#x, want %#x", got, want)
	}
	read := func(text []byte, salt uint64) (got []byte) {
		scanFrames(text, salt, 0, func(p []byte, _, _ int64) { got = append(got, p...) })
		return got
	}
	text := append(bytes.Repeat([]byte{0}, at), frame...)
	if got := read(text, salt); string(got) != "123456789" {
		t.Fatalf("read %q", got)
	}
	for i := at; i < len(text); i++ {
		damaged := bytes.Clone(text)
		damaged[i] ^= 1
		if got := read(damaged, salt); got != nil {
			t.Errorf("with a flipped bit in byte %d it reads %q", i, got)
		}
	}
	if got := append(read(text[1:], salt), read(text, salt+1)...); got != nil {
		t.Errorf("at another offset or with another salt it reads %q", got)
	}
}
