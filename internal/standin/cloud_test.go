package standin

import (
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/cloud"
	"apricotbridge/internal/weights"
)

const testSeed = 7

func newTestCloud(t *testing.T, now *time.Time) (*Cloud, *cloud.Client) {
	t.Logf("seed %d", testSeed)
	clock := func() time.Time { return *now }
	c := NewCloud(testSeed, []cloud.Price{
		{Place: "asan", Class: "large", Reclaimable: 1, OnDemand: 3},
		{Place: "bhaktapur", Class: "large", Reclaimable: 1.2, OnDemand: 3},
	}, map[string]string{"asan": "bagmati", "bhaktapur": "bagmati"})
	c.Now, c.InstanceList = clock, &Instances{Now: clock}
	server := httptest.NewServer(c.Handler())
	t.Cleanup(server.Close)
	return c, &cloud.Client{Address: server.URL, Timeout: time.Minute}
}

// Guards against a second instance when the response to a start is lost and the
// start is retried.
func TestCloudStartOnce(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	c, client := newTestCloud(t, &now)
	start := cloud.StartRequest{Token: "t1", Place: "asan", Class: "large", Service: "sahayak-llm", Reclaimable: true}
	c.SetFaults(CloudFaults{LoseAnswers: 1})
	if _, err := client.Start(t.Context(), start); !errors.Is(err, cloud.ErrOutcomeUnknown) {
		t.Fatalf("lost response: got %v, want ErrOutcomeUnknown", err)
	}
	c.SetFaults(CloudFaults{})
	first, err := client.Start(t.Context(), start)
	if err != nil {
		t.Fatal(err)
	}
	if owned := c.Owned(); len(owned) != 1 || owned[0].ID != first.ID {
		t.Fatalf("got instances %+v, want only %q", owned, first.ID)
	}
	start.Place = "bhaktapur"
	if _, err := client.Start(t.Context(), start); !errors.Is(err, cloud.ErrTokenReused) {
		t.Errorf("token of another start: got %v, want ErrTokenReused", err)
	}
	for range 2 {
		if err := client.Stop(t.Context(), first.ID); err != nil {
			t.Errorf("stop: %v", err)
		}
	}
}

// Guards against refusals that affect other places or classes, and against an
// unavailable API that still starts instances.
func TestCloudRefusals(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	c, client := newTestCloud(t, &now)
	c.SetFaults(CloudFaults{Refusals: []Refusal{{Place: "asan", Class: "large"}}})
	for _, tc := range []struct {
		place       string
		reclaimable bool
		refused     bool
	}{{"asan", true, true}, {"asan", false, false}, {"bhaktapur", true, false}} {
		_, err := client.Start(t.Context(), cloud.StartRequest{Token: tc.place + time.Duration(len(tc.place)).String() + map[bool]string{true: "r"}[tc.reclaimable], Place: tc.place, Class: "large", Reclaimable: tc.reclaimable})
		var refused *cloud.RefusedError
		if errors.As(err, &refused) != tc.refused || err != nil && !tc.refused {
			t.Errorf("start %+v: got %v", tc, err)
		}
	}
	c.SetFaults(CloudFaults{Down: true})
	if _, err := client.Start(t.Context(), cloud.StartRequest{Token: "x", Place: "asan", Class: "large"}); !errors.Is(err, cloud.ErrUnavailable) {
		t.Errorf("outage: got %v, want ErrUnavailable", err)
	}
	if n := len(c.Owned()); n != 2 {
		t.Errorf("got %d instances, want 2", n)
	}
}

// Guards against a reclaim without a notice, and against reclaimed instances
// that stay on the instance list after the deadline.
func TestCloudReclaim(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	c, client := newTestCloud(t, &now)
	for _, token := range []string{"a", "b", "c", "d"} {
		if _, err := client.Start(t.Context(), cloud.StartRequest{Token: token, Place: "asan", Class: "large", Reclaimable: token != "d"}); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(c.StartDelay)
	c.Advance()
	if n := len(c.InstanceList.List().Instances); n != 4 {
		t.Fatalf("got %d listed instances, want 4", n)
	}
	notices := make(chan []cloud.Notice)
	go func() {
		found, _, err := client.Notices(t.Context(), 0)
		if err != nil {
			t.Error(err)
		}
		notices <- found
	}()
	if n := c.Reclaim("asan", 1, 30*time.Second, false); n != 3 {
		t.Fatalf("got %d reclaimed, want 3", n)
	}
	if found := <-notices; len(found) != 3 {
		t.Errorf("got %d notices, want 3", len(found))
	}
	now = now.Add(30 * time.Second)
	c.Advance()
	if left := c.InstanceList.List().Instances; len(left) != 1 || left[0].Reclaimable {
		t.Errorf("after the deadline the list has %+v, want the on-demand instance", left)
	}
}

// Guards against grants beyond the rate of the weight store, and against a
// second permit for a repeated request.
func TestWeightsPermits(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	s := &Weights{
		Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(testSeed, 3)),
		BytesPerSecond: 200, MaxPermits: 2, Sizes: map[string]int64{"m": 1000},
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := &weights.Client{Address: server.URL, Timeout: time.Minute}
	s.SetFaults(WeightsFaults{LoseAnswers: 1})
	if _, err := client.Acquire(t.Context(), weights.Request{Instance: "a", Model: "m"}); !errors.Is(err, weights.ErrOutcomeUnknown) {
		t.Fatalf("lost response: got %v, want ErrOutcomeUnknown", err)
	}
	s.SetFaults(WeightsFaults{})
	a, err := client.Acquire(t.Context(), weights.Request{Instance: "a", Model: "m"})
	if err != nil || a.ID != "permit-1" {
		t.Fatalf("repeated request: got %+v, %v, want permit-1", a, err)
	}
	if _, err := client.Acquire(t.Context(), weights.Request{Instance: "b", Model: "m"}); err != nil {
		t.Fatal(err)
	}
	_, err = client.Acquire(t.Context(), weights.Request{Instance: "c", Model: "m"})
	var limited *weights.LimitedError
	if !errors.As(err, &limited) || time.Duration(limited.RetryAfter) != 10*time.Second {
		t.Fatalf("third request: got %v, want LimitedError for 10s", err)
	}
	if err := client.Release(t.Context(), a.ID); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Acquire(t.Context(), weights.Request{Instance: "c", Model: "m"}); err != nil {
		t.Errorf("after a release: %v", err)
	}
	if _, err := client.Acquire(t.Context(), weights.Request{Instance: "c", Model: "x"}); !errors.Is(err, weights.ErrNotFound) {
		t.Errorf("unknown model: got %v, want ErrNotFound", err)
	}
}

// Guards against prices that leave their range or that differ between runs with
// the same seed.
func TestCloudPrices(t *testing.T) {
	var runs [2]float64
	for i := range runs {
		now := time.Unix(1000, 0).UTC()
		c, client := newTestCloud(t, &now)
		c.SetFaults(CloudFaults{PriceMove: 0.2})
		if _, err := client.Prices(t.Context()); err != nil {
			t.Fatal(err)
		}
		now = now.Add(24 * time.Hour)
		prices, err := client.Prices(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		runs[i] = prices[0].Reclaimable
	}
	if runs[0] != runs[1] || runs[0] == 1 || runs[0] < 0.5 || runs[0] > 2 {
		t.Errorf("got prices %v, want two equal ones that moved within 0.5 and 2", runs)
	}
}
