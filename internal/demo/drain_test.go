package demo

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotbridge/internal/settings"
	"apricotbridge/internal/standin"
	"apricotbridge/pkg/config"
	"apricotbridge/samples"
)

// listedEntries returns the entries that the daemon at the address names, or an error
// if it does not answer.
func listedEntries(address string) ([]string, error) {
	res, err := http.Get("http://" + address + "/v1/entries") //nolint:noctx // The daemon answers at once or has ended.
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var list struct{ Entries []string }
	err = json.NewDecoder(res.Body).Decode(&list)
	return list.Entries, err
}

// Guards against a daemon that ends while lists of entries that its peers gave out
// during its drain may still be used.
func TestDrainOutlastsListsOfPeers(t *testing.T) {
	const keep = time.Second
	p := newTestPlatform(t, logr.Discard(), samples.Shrestha, func(s *settings.Settings) {
		d := config.Duration(keep)
		s.EntriesKeep = &d
	})
	if err := p.StartService(Backend{ID: "khata-1", Service: "khata-app", Place: "asan", Region: "bagmati", Class: "small"}, &standin.Service{}); err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for i := range 8 {
		d, err := p.StartDaemon(fmt.Sprintf("daemon-%d", i), "asan", "bagmati")
		if err != nil {
			t.Fatal(err)
		}
		waitUntilServing(t, d.CallerAddress())
		addresses = append(addresses, d.CallerAddress())
	}
	peer := addresses[0]
	deadline := time.Now().Add(20 * time.Second)
	for list, _ := listedEntries(peer); len(list) < len(addresses); list, _ = listedEntries(peer) {
		if time.Now().After(deadline) {
			t.Fatalf("the peer names %d entries", len(list))
		}
		time.Sleep(20 * time.Millisecond)
	}
	var group sync.WaitGroup
	for i := 1; i < 7; i++ {
		time.Sleep(170 * time.Millisecond)
		p.daemonByID[fmt.Sprintf("daemon-%d", i)].daemon.Drain(t.Context(), time.Now().Add(10*time.Second))
		group.Go(func() {
			var lastNamed time.Time
			for {
				now := time.Now()
				list, err := listedEntries(peer)
				if err != nil {
					t.Error(err)
					return
				}
				if slices.Contains(list, addresses[i]) {
					lastNamed = now
				}
				c, err := net.Dial("tcp", addresses[i]) // A request would keep the daemon from being idle.
				if err != nil {
					break
				}
				_ = c.Close() // Nothing was sent.
				time.Sleep(10 * time.Millisecond)
			}
			if kept := time.Since(lastNamed); kept < keep {
				t.Errorf("daemon-%d ended %v after its peer named it, lists are kept for %v", i, kept, keep)
			}
		})
	}
	group.Wait()
}
