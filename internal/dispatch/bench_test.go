package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
)

// BenchmarkPeerLoads measures a report of a peer's loads at a daemon with 48 peers, 5 other
// places and 329 servers, of which each daemon uses 8.
func BenchmarkPeerLoads(b *testing.B) {
	const servers, peers, perPeer = 329, 48, 8
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	queue := &admission.Queue{Daemon: "d", Seed: 1}
	d := New(queue, routing.New(routing.Options{SharedLoads: true}), quarantine.New(quarantine.Options{}), rand.New(rand.NewPCG(1, 1)))
	var list []routing.Server
	for i := range servers {
		list = append(list, routing.Server{ID: fmt.Sprint("s", i), Service: "s", Slots: 12, Accepting: true})
	}
	d.SetTable(now, routing.NewTable(list, nil))
	loads := func(n, seed int) []routing.ServerLoad {
		var l []routing.ServerLoad
		for i := range n {
			l = append(l, routing.ServerLoad{Server: list[(seed*7+i*11)%servers].ID, Running: 1})
		}
		return l
	}
	for i := range 5 {
		d.SetPlaceLoads(now, fmt.Sprint("place", i), loads(200, i))
	}
	for i := 0; b.Loop(); i++ {
		d.SetPeerLoads(now, fmt.Sprint("peer", i%peers), loads(perPeer, i))
	}
}
