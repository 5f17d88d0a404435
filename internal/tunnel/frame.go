package tunnel

import (
	"encoding/binary"
	"errors"
)

// What an endpoint sends travels between the nodes as frames. A frame is a header, which holds its kind and the length of its
// payload (16 bits, big endian), and the payload. The last frame tells how the endpoint's connection ended. If the connection
// between the nodes ends without it, the answer is not known to be complete.
//
// What the endpoint receives is not framed: an HTTP request tells its own length.

// frameKind is the first byte of a frame.
type frameKind byte

const (
	frameData   frameKind = 'D'
	frameClosed frameKind = 'C' // the endpoint has closed its connection
	frameBroke  frameKind = 'B' // the connection to the endpoint broke
)

const (
	headerSize = 3
	// maxPayload is the largest payload in bytes.
	maxPayload = bufferSize
)

// framingLength is the name of these frames in the messages that open a tunnel.
const framingLength = "length"

var errInvalidFrame = errors.New("the other node sent an invalid frame")

// putHeader writes the header of a frame to the start of b.
func putHeader(b []byte, kind frameKind, length int) {
	b[0] = byte(kind)
	binary.BigEndian.PutUint16(b[1:headerSize], uint16(length)) //nolint:gosec // at most maxPayload
}

// parseHeader returns the kind of a frame and the length of its payload.
func parseHeader(b []byte) (frameKind, int, error) {
	kind, length := frameKind(b[0]), int(binary.BigEndian.Uint16(b[1:headerSize]))
	switch {
	case kind == frameData && length > 0 && length <= maxPayload:
		return kind, length, nil
	case (kind == frameClosed || kind == frameBroke) && length == 0:
		return kind, length, nil
	default:
		return 0, 0, errInvalidFrame
	}
}
