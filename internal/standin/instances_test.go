package standin

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/instances"
)

// Guards against a list that shows a change before its lag has passed, and
// against one that keeps a removed instance.
func TestInstancesLag(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	l := &Instances{Now: func() time.Time { return now }}
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	c := &instances.Client{Address: server.URL, Timeout: time.Minute}
	l.SetFaults(InstancesFaults{Lag: 10 * time.Second})
	l.Put(instances.Instance{ID: "a", Address: "127.0.0.1:1", Incarnation: 3, Place: "asan"})

	checkAt := func(second int64, want ...instances.State) {
		t.Helper()
		now = time.Unix(second, 0).UTC()
		list, err := c.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if !list.AsOf.Equal(now.Add(-10*time.Second)) || len(list.Instances) != len(want) {
			t.Fatalf("at %d: got %+v, want states %v", second, list, want)
		}
		for i, s := range want {
			if list.Instances[i].State != s || list.Instances[i].Incarnation != 3 {
				t.Errorf("at %d: got %+v, want state %s", second, list.Instances[i], s)
			}
		}
	}
	checkAt(1009)
	checkAt(1010, instances.Live)
	l.Leave("a", now.Add(30*time.Second))
	checkAt(1019, instances.Live)
	checkAt(1020, instances.Leaving)
	l.Remove("a")
	checkAt(1029, instances.Leaving)
	checkAt(1030)

	l.SetFaults(InstancesFaults{Down: true})
	if _, err := c.List(t.Context()); !errors.Is(err, instances.ErrUnavailable) {
		t.Errorf("unavailable list: got %v, want ErrUnavailable", err)
	}
}
