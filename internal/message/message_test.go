package message

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a message that changes when it is encoded and decoded.
func TestRoundTrip(t *testing.T) {
	want := Forward{
		Call: 7, RequestID: "r1", Organisation: "lodge", Hops: 1, Method: "POST", Path: "/services/khata-app/orders",
		Headers: []Header{{Name: "Content-Type", Value: "application/json"}}, Body: []byte{0, 1, 0xff},
	}
	data, err := Encode(KindForward, want)
	if err != nil {
		t.Fatal(err)
	}
	e, err := DecodeEnvelope(data)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode[Forward](e)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a panic or an unbounded allocation for malformed bytes from a peer.
func FuzzOpen(f *testing.F) {
	valid, err := Encode(KindDigest, Digest{Revision: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeEnvelope(data)
		if err != nil {
			return
		}
		_, _ = Decode[Forward](e)
		_, _ = Decode[Members](e)
		_, _ = Decode[Handover](e)
	})
}

// Guards against a configuration that changes when it is packed and unpacked, and
// against a small message that unpacks to an arbitrarily large value.
func TestPack(t *testing.T) {
	value := []byte(strings.Repeat(`{"Name": "lodge-union"}`, 1000))
	packed := Compress(value)
	got, err := Decompress(packed)
	if err != nil || !bytes.Equal(got, value) || len(packed) >= len(value) {
		t.Errorf("%v, %d bytes packed to %d and unpacked to %d", err, len(value), len(packed), len(got))
	}
	if _, err := Decompress(Compress(make([]byte, maxUnpackedBytes+1))); err == nil {
		t.Error("a value over the bound was unpacked")
	}
	if _, err := Decompress([]byte("no stream")); err == nil {
		t.Error("malformed bytes were unpacked")
	}
}
