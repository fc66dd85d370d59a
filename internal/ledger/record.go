package ledger

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Kind determines whether a record may run more than once.
type Kind uint8

// Kinds of records.
const (
	// Order is the kind of a request that is never dispatched twice.
	Order Kind = iota + 1
	// Draft is the kind of a request that is stored and may run again.
	Draft
)

// State is the durable state of a record.
type State uint8

// States of a record.
const (
	// Open means that there is no outcome yet.
	Open State = iota + 1
	// Done means that the response is stored.
	Done
	// Unknown means that the request may have run; its outcome is unknown.
	Unknown
	// Cancelled means that the request was not dispatched; its key counts as new.
	Cancelled
)

// Head is the part of a record that a segment's index contains.
type Head struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Key          string
	Kind         Kind
	State        State
	// Sequence orders the versions of a key; the version with the highest is valid.
	Sequence uint64
	// BodyHash distinguishes a repeated request from a reused key.
	BodyHash []byte
	// Fence is the fencing number of the holder that committed the intent.
	Fence          uint64
	AcceptedMillis int64
	Service        string
	// Lookup reports whether the service can find outcomes by key.
	Lookup bool
}

// Record is one version of a key: an intent while its state is Open, afterwards an
// outcome.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Head Head
	// RequestID is the ID of the request that created the record.
	RequestID string
	// Request is stored while a draft is open.
	Request  []byte
	Response []byte
	// Dropped is set when the response exceeded MaxRecordBytes and was not stored.
	Dropped bool
}

// size estimates the encoded size of a record.
func (r *Record) size() int {
	const fixedBytes = 48 // array headers, numbers and the 16-byte hash
	return fixedBytes + len(r.Head.Organisation) + len(r.Head.Key) + len(r.Head.Service) +
		len(r.RequestID) + len(r.Request) + len(r.Response)
}

// Segment describes an immutable segment, which is stored under two keys: its records
// and its index.
type Segment struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Bytes int
	Keys  int
	// Revisions of the two keys, required to delete them.
	Revision, IndexRevision int64
}

// Tail is the value of a shard's only mutable key.
type Tail struct {
	// Holder is the daemon that holds the shard; it is empty after a hand-off.
	Holder string
	// Incarnation distinguishes two processes with the same name.
	Incarnation uint64
	// Fence is the fencing number of the holder; each takeover increments it.
	Fence uint64
	// Group counts attempted commits. It shows whether a write whose answer was lost
	// took effect.
	Group uint64
	// NextSequence is the last sequence that was assigned.
	NextSequence uint64
	// Segments are the sealed segments, oldest first.
	Segments []Segment
	// Garbage lists segments that are no longer part of the shard and are being
	// deleted. It is stored, so that a successor continues the deletions.
	Garbage []Segment
	Records []Record
}

// segmentBytes estimates the encoded size of the lists of segments.
func (t *Tail) segmentBytes() int {
	const nameBytes = 40 // a name and four numbers
	return nameBytes * (len(t.Segments) + len(t.Garbage))
}

// sameCommit reports whether two tails are from the same commit.
func (t *Tail) sameCommit(o *Tail) bool {
	return t.Holder == o.Holder && t.Incarnation == o.Incarnation && t.Fence == o.Fence && t.Group == o.Group
}

// DecodeTail decodes the value of a tail key.
func DecodeTail(value []byte) (Tail, error) {
	var t Tail
	return t, errors.Annotate(cbor.Unmarshal(value, &t), "decode tail of ledger shard")
}

// encode returns the CBOR encoding of v. It never fails for the types of this
// package, which contain only numbers, strings and byte slices.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode %T: %v", v, err))
	}
	return data
}

// TailKey returns the key of a shard's tail.
func TailKey(shard int) string { return "ledger/" + strconv.Itoa(shard) }

func segmentKey(shard int, name string) string { return TailKey(shard) + "/" + name }

func indexKey(shard int, name string) string { return segmentKey(shard, name) + ".index" }

// ShardOf returns the shard of an organisation's key.
func ShardOf(organisation, key string, shards int) int {
	h := xxhash.New()
	_, _ = h.WriteString(organisation) // A Digest never fails.
	_, _ = h.Write([]byte{0})          // Distinguishes "ab"+"c" from "a"+"bc".
	_, _ = h.WriteString(key)
	return int(h.Sum64() % uint64(shards))
}

// bodyHash is a cryptographic hash, because a collision would answer a request
// with the response of another. 16 bytes keep indexes small.
func bodyHash(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:16]
}

func millis(t time.Time) int64 { return t.UnixMilli() }
