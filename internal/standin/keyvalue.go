// Package standin has small stand-ins for the platform's systems and for
// backend servers, for tests, the demo and benchmarks. They can inject the
// faults of the real systems; they do not simulate a cluster.
package standin

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"apricotbridge/internal/keyvalue"
)

// KeyValueFaults configures the faults of the key-value service.
type KeyValueFaults struct {
	// Down makes every call fail without an effect.
	Down bool
	// LoseAnswers is the share of writes whose response is lost after they took
	// effect.
	LoseAnswers float64
	// Latency is added to each call.
	Latency time.Duration
	// WritesPerSecond and ReadsPerSecond limit the call rates; 0 means no limit.
	// Calls over a limit are refused.
	WritesPerSecond, ReadsPerSecond float64
}

type storedLease struct {
	ttl     time.Duration
	expires time.Time
}

// KeyValue is an in-memory key-value service. Set the exported fields before the
// first call.
type KeyValue struct {
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// Rand decides which responses are lost.
	Rand *rand.Rand

	mu         sync.Mutex
	revision   int64
	entries    map[string]keyvalue.Entry
	changes    []keyvalue.Entry
	leases     map[string]storedLease
	faults     KeyValueFaults
	changed    chan struct{}
	writeLimit tokenBucket
	readLimit  tokenBucket
	counts     KeyValueCounts
}

// KeyValueCounts counts the calls to the service and the bytes of the values read or
// written.
type KeyValueCounts struct {
	Reads, Writes, Watches, Refused, Bytes int64
}

// tokenBucket is a token bucket with a capacity of one second at its rate.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

func (b *tokenBucket) allow(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if b.updated.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewKeyValue returns an empty service that uses the wall clock.
func NewKeyValue(seed uint64) *KeyValue {
	return &KeyValue{Now: time.Now, Rand: rand.New(rand.NewPCG(seed, 1))}
}

// SetFaults replaces the active faults.
func (k *KeyValue) SetFaults(f KeyValueFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.notifyWatchers()
}

// Counts returns the counts so far.
func (k *KeyValue) Counts() KeyValueCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

func (k *KeyValue) notifyWatchers() {
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
}

// beginCall waits for the latency, takes the lock, expires leases and applies
// the faults. When it returns nil, the caller unlocks.
func (k *KeyValue) beginCall(ctx context.Context, write bool) error {
	k.mu.Lock()
	latency := k.faults.Latency
	k.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return keyvalue.ErrUnavailable
		}
	}
	k.mu.Lock()
	if k.entries == nil {
		k.entries = map[string]keyvalue.Entry{}
		k.leases = map[string]storedLease{}
	}
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	now := k.Now()
	k.expireLeases(now)
	ok := !k.faults.Down
	if ok && write {
		ok = k.writeLimit.allow(now, k.faults.WritesPerSecond)
	} else if ok {
		ok = k.readLimit.allow(now, k.faults.ReadsPerSecond)
	}
	if !ok {
		k.counts.Refused++
		k.mu.Unlock()
		return keyvalue.ErrUnavailable
	}
	if write {
		k.counts.Writes++
	} else {
		k.counts.Reads++
	}
	return nil
}

// expireLeases removes expired leases and the keys bound to them. Leases also
// expire while the service is down.
func (k *KeyValue) expireLeases(now time.Time) {
	for name, l := range k.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(k.leases, name)
		for key, e := range k.entries {
			if e.Lease == name {
				k.remove(key)
			}
		}
	}
}

func (k *KeyValue) remove(key string) {
	k.revision++
	delete(k.entries, key)
	k.changes = append(k.changes, keyvalue.Entry{Key: key, Revision: k.revision, Deleted: true})
	k.notifyWatchers()
}

// writeResult returns the result of a write that took effect: nil, or
// ErrOutcomeUnknown when its response is lost.
func (k *KeyValue) writeResult() error {
	if k.faults.LoseAnswers > 0 && k.Rand.Float64() < k.faults.LoseAnswers {
		return keyvalue.ErrOutcomeUnknown
	}
	return nil
}

// Get returns the entry of a key.
func (k *KeyValue) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := k.beginCall(ctx, false); err != nil {
		return keyvalue.Entry{}, err
	}
	defer k.mu.Unlock()
	e, ok := k.entries[key]
	if !ok {
		return keyvalue.Entry{}, keyvalue.ErrNotFound
	}
	k.counts.Bytes += int64(len(e.Value))
	return e, nil
}

// List returns the entries whose keys start with prefix, in key order, and the
// revision.
func (k *KeyValue) List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error) {
	if err := k.beginCall(ctx, false); err != nil {
		return nil, 0, err
	}
	defer k.mu.Unlock()
	var found []keyvalue.Entry
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
			k.counts.Bytes += int64(len(e.Value))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, k.revision, nil
}

// CompareAndSwap writes a value if the key is at the given revision.
func (k *KeyValue) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error) {
	if len(value) > keyvalue.MaxValueBytes {
		return keyvalue.Entry{}, keyvalue.ErrTooLarge
	}
	if err := k.beginCall(ctx, true); err != nil {
		return keyvalue.Entry{}, err
	}
	defer k.mu.Unlock()
	current, ok := k.entries[key]
	if current.Revision != revision {
		if !ok {
			current.Key = key
		}
		return keyvalue.Entry{}, &keyvalue.ConflictError{Current: current}
	}
	if lease != "" {
		if _, ok := k.leases[lease]; !ok {
			return keyvalue.Entry{}, keyvalue.ErrLeaseLapsed
		}
	}
	k.revision++
	e := keyvalue.Entry{Key: key, Value: append([]byte(nil), value...), Revision: k.revision, Lease: lease}
	k.entries[key] = e
	k.changes = append(k.changes, e)
	k.counts.Bytes += int64(len(value))
	k.trimChanges()
	k.notifyWatchers()
	return e, k.writeResult()
}

// trimChanges bounds the change history for watches. A watch from an older
// revision gets all entries with its prefix.
func (k *KeyValue) trimChanges() {
	const keptChanges = 4096
	if len(k.changes) > 2*keptChanges {
		k.changes = append([]keyvalue.Entry(nil), k.changes[len(k.changes)-keptChanges:]...)
	}
}

// Delete removes a key if it is at the given revision.
func (k *KeyValue) Delete(ctx context.Context, key string, revision int64) error {
	if err := k.beginCall(ctx, true); err != nil {
		return err
	}
	defer k.mu.Unlock()
	current, ok := k.entries[key]
	if !ok {
		return keyvalue.ErrNotFound
	}
	if current.Revision != revision {
		return &keyvalue.ConflictError{Current: current}
	}
	k.remove(key)
	return k.writeResult()
}

// Grant creates a lease, or renews it if it exists.
func (k *KeyValue) Grant(ctx context.Context, lease string, ttl time.Duration) error {
	if err := k.beginCall(ctx, true); err != nil {
		return err
	}
	defer k.mu.Unlock()
	k.leases[lease] = storedLease{ttl: ttl, expires: k.Now().Add(ttl)}
	return k.writeResult()
}

// Renew extends a lease by its time to live.
func (k *KeyValue) Renew(ctx context.Context, lease string) error {
	if err := k.beginCall(ctx, true); err != nil {
		return err
	}
	defer k.mu.Unlock()
	l, ok := k.leases[lease]
	if !ok {
		return keyvalue.ErrLeaseLapsed
	}
	l.expires = k.Now().Add(l.ttl)
	k.leases[lease] = l
	return k.writeResult()
}

// Watch returns the changes of keys with a prefix after the given revision, and
// the latest revision. It waits for a change until the context ends; that end
// is not an error.
func (k *KeyValue) Watch(ctx context.Context, prefix string, after int64) ([]keyvalue.Entry, int64, error) {
	k.mu.Lock()
	k.counts.Watches++
	k.mu.Unlock()
	for {
		if err := k.beginCall(ctx, false); err != nil {
			return nil, after, err
		}
		found := k.changesSince(prefix, after)
		revision, changed := k.revision, k.changed
		k.mu.Unlock()
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, revision, nil
		}
	}
}

// ChangesSince returns the same as Watch, but without waiting.
func (k *KeyValue) ChangesSince(ctx context.Context, prefix string, after int64) ([]keyvalue.Entry, int64, error) {
	if err := k.beginCall(ctx, false); err != nil {
		return nil, after, err
	}
	defer k.mu.Unlock()
	found := k.changesSince(prefix, after)
	for _, e := range found {
		k.counts.Bytes += int64(len(e.Value))
	}
	return found, k.revision, nil
}

func (k *KeyValue) changesSince(prefix string, after int64) []keyvalue.Entry {
	latest := map[string]keyvalue.Entry{}
	if len(k.changes) > 0 && after+1 < k.changes[0].Revision {
		for key, e := range k.entries {
			latest[key] = e
		}
	}
	for _, e := range k.changes {
		if e.Revision > after {
			latest[e.Key] = e
		}
	}
	var found []keyvalue.Entry
	for key, e := range latest {
		if strings.HasPrefix(key, prefix) && e.Revision > after {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Revision < found[j].Revision })
	return found
}
