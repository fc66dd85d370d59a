package message

import "testing"

// FuzzDecode checks that no bytes make the decoder of messages panic.
func FuzzDecode(f *testing.F) {
	for _, kind := range []Kind{KindStatus, KindListing, KindRows, KindEvidence, KindConfiguration} {
		data, err := Encode(kind, Listing{Revision: 1, Changes: []StoreEntry{{Key: "k", Value: []byte("v"), Revision: 2}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		e, err := DecodeEnvelope(data)
		if err != nil {
			return
		}
		decodeAs[Status](e)
		decodeAs[Listing](e)
		decodeAs[Rows](e)
		decodeAs[Evidence](e)
		decodeAs[Hello](e)
		if c, ok := decodeAs[Configuration](e); ok {
			_, _ = Decompress(c.Value) // Only a panic is a failure.
		}
	})
}

func decodeAs[B Body](e Envelope) (B, bool) {
	body, err := Decode[B](e)
	return body, err == nil
}
