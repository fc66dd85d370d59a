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

// Kind says whether a record may run more than once.
type Kind uint8

// Kinds of records.
const (
	// Order is never dispatched twice.
	Order Kind = iota + 1
	// Draft keeps its request and may run again.
	Draft
)

// State is the durable state of a record.
type State uint8

// States of a record.
const (
	// Open has no outcome yet.
	Open State = iota + 1
	// Done has a stored response.
	Done
	// Unknown ran with an unknown outcome.
	Unknown
	// Cancelled was not dispatched; its key counts as new.
	Cancelled
)

// Head is the part of a record that an index keeps.
type Head struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Key          string
	Kind         Kind
	State        State
	// Sequence orders the versions of a key; the highest is valid.
	Sequence uint64
	// BodyHash tells a repeated request from a reused key.
	BodyHash []byte
	// Fence is the fencing number of the holder that committed the intent.
	Fence          uint64
	AcceptedMillis int64
	Service        string
	// Lookup says that the service finds outcomes by key.
	Lookup bool
}

// Record is one version of a key.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Head Head
	// RequestID names the request that created the record.
	RequestID string
	// Request is kept while a draft is open.
	Request  []byte
	Response []byte
	// Dropped says that the response was over MaxRecordBytes and is not kept.
	Dropped bool
}

// size estimates the encoded size of a record.
func (r *Record) size() int {
	const fixedBytes = 48 // array heads, numbers and the 16 bytes of the hash
	return fixedBytes + len(r.Head.Organisation) + len(r.Head.Key) + len(r.Head.Service) +
		len(r.RequestID) + len(r.Request) + len(r.Response)
}

// Segment names an immutable segment and its index.
type Segment struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Bytes int
	Keys  int
	// Revisions of the two keys, needed to delete them.
	Revision, IndexRevision int64
}

// Tail is the value of a shard's only mutable key.
type Tail struct {
	// Holder is empty when the shard was handed off.
	Holder string
	// Incarnation tells two processes with the same name apart.
	Incarnation uint64
	Fence       uint64
	// Group counts attempted commits, so that a lost answer can be resolved.
	Group        uint64
	NextSequence uint64
	// Segments are the sealed segments, oldest first.
	Segments []Segment
	// Garbage are segments that are no longer part of the shard and are being
	// deleted. It survives the holder, so that a successor goes on.
	Garbage []Segment
	Records []Record
}

// segmentBytes estimates the encoded size of the names of segments.
func (t *Tail) segmentBytes() int {
	const nameBytes = 40 // a name and four numbers
	return nameBytes * (len(t.Segments) + len(t.Garbage))
}

// same reports whether two tails are the same commit.
func (t *Tail) same(o *Tail) bool {
	return t.Holder == o.Holder && t.Incarnation == o.Incarnation && t.Fence == o.Fence && t.Group == o.Group
}

// DecodeTail reads the value of a tail key.
func DecodeTail(value []byte) (Tail, error) {
	var t Tail
	return t, errors.Annotate(cbor.Unmarshal(value, &t), "decode tail of ledger shard")
}

// encode never fails for the types of this package, which hold only numbers,
// strings and byte slices.
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
	_, _ = h.Write([]byte{0})          // Keeps "ab"+"c" apart from "a"+"bc".
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
