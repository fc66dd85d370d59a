// Package message holds the messages that daemons exchange and their CBOR codec.
// The types are generated from message.schema.json.
package message

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --tags json --capitalization ID --struct-name-from-title -p message -o message_gen.go message.schema.json

// ProtocolVersion is the protocol version in Hello. It increases with each change after which
// an older daemon can't decode a message.
const ProtocolVersion = 2

// MaxBytes bounds one encoded message. The largest are a Forward and a Handover with
// a body of 4 MB and the text generated so far.
const MaxBytes = 8 << 20

// Body is the set of message types that an Envelope can carry.
type Body interface {
	Hello | Digest | Configuration | Fetch | Members | Usage | Quarantine | Forward | ForwardAnswer | Cancel | Handover | HandoverAccepted | Status | Listing | Rows | Evidence | Leaving | Left | Rates | Begun
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	// The limits prevent a malformed message from allocating far more than its size.
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 12,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

var encoder = mustEncoder()

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// Encode wraps body in an envelope of the given kind and encodes both.
func Encode[B Body](kind Kind, body B) ([]byte, error) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		return nil, errors.Annotatef(err, "encode %s", kind)
	}
	data, err := encoder.Marshal(Envelope{Kind: kind, Body: raw})
	if err != nil {
		return nil, errors.Annotatef(err, "encode envelope of %s", kind)
	}
	return data, nil
}

// DecodeEnvelope decodes the envelope of a message. The body stays encoded.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return e, errors.Annotate(err, "decode envelope")
	}
	return e, nil
}

// Decode decodes the body of an envelope.
func Decode[B Body](e Envelope) (B, error) {
	var body B
	if err := decoder.Unmarshal(e.Body, &body); err != nil {
		return body, errors.Annotatef(err, "decode %s", e.Kind)
	}
	return body, nil
}
