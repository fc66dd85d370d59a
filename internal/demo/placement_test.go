package demo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"

	"apricotbridge/internal/cloud"
	"apricotbridge/internal/lease"
	"apricotbridge/internal/settings"
	"apricotbridge/internal/standin"
	"apricotbridge/samples"
)

// Guards against demand that starts no backend servers when there are none: the
// holder of the placement duty must start some. When the holder drains, another
// daemon must take over the duty with a higher fencing number.
func TestPlacementStartsServersForDemand(t *testing.T) {
	p, err := NewPlatform(t.Context(), testr.New(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	if err := p.Apply(t.Context(), samples.Shrestha); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	booted := 0
	api := standin.NewCloud(1, []cloud.Price{{Place: "asan", Class: "accelerator-8", Reclaimable: 1, OnDemand: 3}}, map[string]string{"asan": "bagmati"})
	api.InstanceList, api.StartDelay = p.Instances, 100*time.Millisecond
	api.Boot = func(i cloud.Instance) string {
		mu.Lock()
		defer mu.Unlock()
		booted++
		id := fmt.Sprintf("booted-%d", booted)
		e := &standin.Engine{Slots: 32, TokenTime: 5 * time.Millisecond, CacheTokens: 1 << 16, ChecksFencing: true}
		if _, err := p.startServer(id, e.Handler()); err != nil {
			t.Errorf("boot %s: %v", i.ID, err)
		}
		return p.Address(id)
	}
	if _, err := p.startServer("cloud", api.Handler()); err != nil {
		t.Fatal(err)
	}
	p.AdjustSettings = func(s *settings.Settings) { s.Cloud = &settings.Remote{Address: "http://" + p.Address("cloud")} }
	for i := range 2 {
		if _, err := p.StartDaemon(fmt.Sprintf("daemon-%d", i), "asan", "bagmati"); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(90 * time.Second)
	served := false
	for !served && time.Now().Before(deadline) {
		for _, address := range p.Entries() {
			res, err := sendRequest(t.Context(), address, "POST", "/v1/completions", `{"model":"sahayak-llm","prompt":"x","max_tokens":200}`, nil)
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			served = served || res.StatusCode == http.StatusOK
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !served {
		t.Fatal("no backend server was started for the demand")
	}
	before := placementHolder(t, p)
	p.daemonByID[before.Holder].daemon.Drain(t.Context(), time.Time{})
	for time.Now().Before(deadline) {
		if after := placementHolder(t, p); after.Holder != "" && after.Holder != before.Holder && after.Fence > before.Fence {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("placement duty was not taken over from %+v", before)
}

// placementHolder returns the lease of the placement duty.
func placementHolder(t *testing.T, p *Platform) lease.Value {
	t.Helper()
	e, err := p.KeyValue.Get(t.Context(), lease.Key("placement/bagmati"))
	if err != nil {
		t.Fatal(err)
	}
	var v lease.Value
	if err := json.Unmarshal(e.Value, &v); err != nil {
		t.Fatal(err)
	}
	return v
}
