package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
)

// TestOddDaemonEntries guards against giving callers or peers addresses that can't be
// connected to.
func TestOddDaemonEntries(t *testing.T) {
	g := &Gateway{Log: logr.Discard()}
	known := map[string]Daemon{}
	sound := daemonEntry{Daemon: "d", Place: "a", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:7600"}
	g.updateDaemon(known, encodeEntry(t, daemonPrefix+"d", sound))
	if len(known) != 1 {
		t.Fatalf("%d daemons known, want 1", len(known))
	}
	for _, change := range []func(*daemonEntry){
		func(e *daemonEntry) { e.CallerAddress = "10.0.0.1:99999" },
		func(e *daemonEntry) { e.CallerAddress = "" },
		func(e *daemonEntry) { e.PeerAddress = "10.0.0.1:0" },
		func(e *daemonEntry) { e.PeerAddress = "host.example:80" },
		func(e *daemonEntry) { e.Place = "" },
		func(e *daemonEntry) { e.Daemon = "other" },
	} {
		odd := sound
		odd.Daemon = "odd"
		change(&odd)
		g.updateDaemon(known, encodeEntry(t, daemonPrefix+"odd", odd))
		if len(known) != 1 {
			t.Errorf("entry %+v is used", odd)
			delete(known, "odd")
		}
	}
}

// TestOddSuspectEntries guards against refusing a suspect for ever, or for crashes that are
// long past, because of the numbers in an entry.
func TestOddSuspectEntries(t *testing.T) {
	wallClock := time.UnixMilli(1_800_000_000_000)
	record := func(suspect uint64, began, ended int64) []byte {
		entry := suspectEntry{WrittenAt: wallClock.UnixMilli() - 500, Record: message.SuspectRecord{
			Suspect: suspect, Crashes: []message.CrashedRun{{Server: 1, Began: began, Ended: ended}},
		}}
		return encodeEntry(t, "", entry).Value
	}
	got, err := decodeSuspect(wallClock, 7, record(7, 100, 50))
	if err != nil || got.Crashes[0].Ended != 550 {
		t.Errorf("record %+v, error %v", got, err)
	}
	const most = 1<<63 - 1
	for _, odd := range [][]byte{record(8, 100, 50), record(7, most, most), record(7, 100, -1), []byte("[[["), nil} {
		if got, err := decodeSuspect(wallClock, 7, odd); err == nil {
			t.Errorf("entry %s yields %+v", odd, got)
		}
	}
}

func encodeEntry(t *testing.T, key string, value any) keyvalue.Entry {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return keyvalue.Entry{Key: key, Value: data, Revision: 1}
}
