package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotbridge/internal/message"
)

// regionControls returns the state of linked daemons, three in each of two regions.
func regionControls(now time.Time) map[string]*control {
	controls := map[string]*control{}
	var hellos []message.Hello
	for _, region := range []string{"near", "far"} {
		for i := range 3 {
			hellos = append(hellos, message.Hello{Daemon: fmt.Sprint(region, i), Place: fmt.Sprint(region, i), Region: region})
		}
	}
	for _, self := range hellos {
		c := &control{
			g: &Gateway{Daemon: self.Daemon, Place: self.Place, Region: self.Region, Log: logr.Discard()}, peers: map[string]*peerState{},
			index: newIndex(&Configuration{Version: 7}), adoptedAt: now,
		}
		for _, h := range hellos {
			if h != self {
				c.peers[h.Daemon] = &peerState{hello: h, heardAt: now.Add(-time.Minute), revision: 6}
			}
		}
		controls[self.Daemon] = c
	}
	return controls
}

// TestConfigurationCrossesToARegionOnce guards against copies of a large configuration that fill the link between two regions.
func TestConfigurationCrossesToARegionOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, byPlace := range []bool{false, true} {
		for _, sources := range [][]string{{"Store", "near0", "near0"}, {"near2", "near2", "Store"}, {"Store", "Store", "Store"}} {
			copies := map[string]int{}
			controls := regionControls(now)
			for i, source := range sources {
				c := controls[fmt.Sprint("near", i)]
				c.topology = topology{ByPlace: byPlace, Delegate: true}
				for _, to := range c.configurationRecipients(source) {
					if c.peers[to].hello.Region == "far" {
						copies[to]++
					}
				}
			}
			if want := map[string]int{"far0": 1, "far1": 1, "far2": 1}; fmt.Sprint(copies) != fmt.Sprint(want) {
				t.Errorf("links by place %v, read by %v: sent to %v, want %v", byPlace, sources, copies, want)
			}
		}
	}
}

// TestConfigurationIsSentAgainToAnotherRegion guards against a region without a configuration because its sender failed, and against many copies.
func TestConfigurationIsSentAgainToAnotherRegion(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	controls := regionControls(start)
	var sent []string
	for d := time.Duration(0); d < 4*time.Second; d += 100 * time.Millisecond {
		now := start.Add(d)
		for _, id := range []string{"near1", "near2"} { // near0 sends nothing.
			c := controls[id]
			p := c.peers["far0"]
			if c.mayResendConfiguration(now, p) {
				c.noteConfigurationSent(now, p)
				sent = append(sent, fmt.Sprintf("%s %v", id, d))
			}
		}
	}
	if want := []string{"near1 600ms", "near2 2.1s", "near1 3.6s"}; !slices.Equal(sent, want) {
		t.Errorf("sent %v, want %v", sent, want)
	}
}
