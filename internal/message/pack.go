package message

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// maxPacked bounds a value that is unpacked, so that a malformed message can't fill
// the memory. A configuration is a value of the key-value service and has at most
// 1 MB.
const maxPacked = 1 << 20

// Pack compresses the value of a Configuration. At 1,700 changes a day each daemon
// sends every change to about four peers, so that its size is a large part of the
// bytes for control.
func Pack(value []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		panic(err) // The level is constant.
	}
	_, _ = w.Write(value) // A buffer takes any write.
	_ = w.Close()
	return packed.Bytes()
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPacked+1))
	if err != nil {
		return nil, errors.Annotate(err, "unpack configuration")
	}
	if len(value) > maxPacked {
		return nil, errors.Errorf("unpacked configuration is over %d bytes", maxPacked)
	}
	return value, nil
}
