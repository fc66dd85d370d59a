package message

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// maxUnpackedBytes bounds an unpacked value, so that a malformed message can't exhaust
// the memory. A configuration is a value of the key-value service, which has at most
// 1 MiB.
const maxUnpackedBytes = 1 << 20

// Compress compresses the value of a Configuration. Each daemon sends every change to
// about four peers; at 1,700 changes a day, these are a large part of the control
// traffic.
func Compress(value []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		panic(err) // The level is constant.
	}
	_, _ = w.Write(value) // Writes to a bytes.Buffer don't fail.
	_ = w.Close()
	return packed.Bytes()
}

// Decompress decompresses the result of Compress.
func Decompress(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "unpack configuration")
	}
	if len(value) > maxUnpackedBytes {
		return nil, errors.Errorf("unpacked configuration is over %d bytes", maxUnpackedBytes)
	}
	return value, nil
}
