package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A segment is a sequence of frames. A frame is a header of 12 bytes and a payload. The header holds the payload's
// length, the payload's CRC-32C and a checksum of its own: a CRC-32C over the segment's salt, the frame's offset and
// the 8 bytes before. So a header is valid only where it was written: neither a body that looks like a frame nor a
// block that was written elsewhere passes. Numbers are little-endian.
const frameHeaderSize = 12

func checksum(b []byte) uint32 { return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)) }

func headerChecksum(head []byte, salt uint64, off int64) uint32 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], salt)
	binary.LittleEndian.PutUint64(b[8:], uint64(off))
	copy(b[16:], head[:8])
	return checksum(b[:])
}

// appendFrameHeader appends room for a header. The caller appends the payload after it.
func appendFrameHeader(b []byte) []byte { return append(b, make([]byte, frameHeaderSize)...) }

// fillFrameHeader fills in the header of a frame that is to be written at off.
func fillFrameHeader(frame []byte, salt uint64, off int64) {
	payload := frame[frameHeaderSize:]
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], checksum(payload))
	binary.LittleEndian.PutUint32(frame[8:], headerChecksum(frame, salt, off))
}

// scanResult is the result of scanning the frames of a segment.
type scanResult struct {
	validEnd   int64 // end of the last valid frame
	frameCount int   // number of valid frames
}

// scanFrames calls use with the payload of each valid frame from offset at on, with the frame's offset and with the
// end of the valid frame before it. If the two differ, the bytes between them are damaged. What follows the last
// valid frame is an unfinished write, or damage that looks like one.
func scanFrames(text []byte, salt uint64, at int64, use func(payload []byte, at, after int64)) scanResult {
	result := scanResult{validEnd: at}
	for n := int64(len(text)); at+frameHeaderSize <= n; {
		head := text[at : at+frameHeaderSize]
		size := int64(binary.LittleEndian.Uint32(head))
		if size > n-at-frameHeaderSize || binary.LittleEndian.Uint32(head[8:]) != headerChecksum(head, salt, at) {
			at++
			continue
		}
		end := at + frameHeaderSize + size
		if payload := text[at+frameHeaderSize : end]; binary.LittleEndian.Uint32(head[4:]) == checksum(payload) {
			use(payload, at, result.validEnd)
			result.validEnd = end
			result.frameCount++
		}
		at = end
	}
	return result
}
