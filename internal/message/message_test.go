package message

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a message that changes when it crosses a link.
func TestRoundTrip(t *testing.T) {
	want := Forward{
		Call: 7, RequestID: "r1", Organisation: "lodge", Hops: 1, Method: "POST", Path: "/services/khata-app/orders",
		Headers: []Header{{Name: "Content-Type", Value: "application/json"}}, Body: []byte{0, 1, 0xff},
	}
	data, err := Encode(KindForward, want)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Open(data)
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

// Guards against a panic or an unbounded allocation on malformed bytes from a peer.
func FuzzOpen(f *testing.F) {
	valid, err := Encode(KindDigest, Digest{Revision: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Open(data)
		if err != nil {
			return
		}
		_, _ = Decode[Forward](e)
		_, _ = Decode[Members](e)
		_, _ = Decode[Handover](e)
	})
}
