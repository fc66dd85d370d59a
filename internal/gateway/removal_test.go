package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
)

// listRefusingStore is an isolatedStore that can refuse to list the servers.
type listRefusingStore struct {
	*isolatedStore
	refuses atomic.Bool
}

func (s *listRefusingStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error) {
	if prefix == "servers/" && s.refuses.Load() {
		return nil, 0, keyvalue.ErrUnavailable
	}
	return s.isolatedStore.List(ctx, prefix)
}

// TestStaleDaemonDoesNotRemoveAVersionFromTheRecord guards against a daemon that takes a version for gone because it has missed that its servers came back.
func TestStaleDaemonDoesNotRemoveAVersionFromTheRecord(t *testing.T) {
	env := newTestEnv(t)
	older := env.addVersion("s1", "model", "v1", breakingStream())
	newer := env.addVersion("s2", "model", "v2", breakingStream())
	current := env.startReady("g1")
	refusing := &listRefusingStore{isolatedStore: &isolatedStore{store: env.store}}
	env.gatewayStore = refusing
	stale := env.startReady("g2")
	for _, gw := range []*testGateway{current, stale} {
		waitFor(t, gw.Daemon+" knows both versions", func() bool {
			return gw.begun.isRecorded("model", "v1") && gw.begun.isRecorded("model", "v2") && gw.accepting("s2")
		})
	}
	const memory = 3 * time.Second
	stale.begun.setMemory(memory)
	env.store.remove("servers/" + newer.id)
	for _, gw := range []*testGateway{current, stale} {
		waitFor(t, gw.Daemon+" knows that v2 has left", func() bool { return !gw.accepting("s2") })
	}
	refusing.refuses.Store(true)
	env.register(newer, "model", false)
	waitFor(t, "v2 takes requests again", func() bool { return current.accepting("s2") })
	time.Sleep(memory + maxListGap + 2*recordInterval)
	for i := range 20 {
		current.begin(t, fmt.Sprint("began", i))
	}
	streams := beganAt(newer)
	if len(streams) == 0 {
		t.Fatal("no stream began at v2")
	}
	for _, id := range streams {
		stale.takeUp(t, id)
	}
	if n := older.continued(); n > 0 {
		t.Errorf("%d of %d streams of v2 went on at v1", n, len(streams))
	}
}

// TestVersionThatLeftIsRemovedFromTheRecord guards against refusing streams that are not known long after a release.
func TestVersionThatLeftIsRemovedFromTheRecord(t *testing.T) {
	env := newTestEnv(t)
	env.addVersion("s1", "model", "v1", breakingStream())
	left := env.addVersion("s2", "model", "v2", breakingStream())
	gateways := []*testGateway{env.startReady("g1"), env.startReady("g2")}
	const memory = 2 * time.Second
	for _, gw := range gateways {
		waitFor(t, gw.Daemon+" knows both versions", func() bool { return gw.begun.isRecorded("model", "v1") && gw.begun.isRecorded("model", "v2") })
		gw.begun.setMemory(memory)
	}
	env.store.remove("servers/" + left.id)
	time.Sleep(memory)
	if record := env.store.value(versionPrefix + "model"); !strings.Contains(record, "v2") {
		t.Errorf("record %s: the version was removed while its streams may be taken up", record)
	}
	for _, gw := range gateways {
		if !slices.Contains(gw.begun.allRecords()["model"].Versions, "v2") {
			t.Errorf("%s: the version was removed while its streams may be taken up", gw.Daemon)
		}
	}
	waitFor(t, "the version is removed", func() bool { return !strings.Contains(env.store.value(versionPrefix+"model"), "v2") })
	for _, gw := range gateways {
		waitFor(t, gw.Daemon+" knows that the version is gone", func() bool { return !slices.Contains(gw.begun.allRecords()["model"].Versions, "v2") })
	}
}
