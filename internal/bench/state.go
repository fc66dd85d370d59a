package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/adoption"
	"apricotbridge/internal/entry"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
)

// routingTable returns the routing table of a fleet.
func routingTable(l instances.List) *routing.Table {
	var servers []routing.Server
	for _, i := range l.Instances {
		servers = append(servers, routing.Server{
			ID: i.ID, Incarnation: i.Incarnation, Address: i.Address, Service: i.Service, Place: i.Place, Region: i.Region,
			Class: i.Class, Slots: 32, TokensPerSecond: 2800, PrefillTokensPerSecond: 20_000, CacheTokens: 400_000,
			PricePerHour: i.Price, Accepting: true,
		})
	}
	return routing.NewTable(servers, nil)
}

// routerWith returns a router that has sent prompts with the given number of distinct
// blocks.
func routerWith(t *routing.Table, blocks int) *routing.Router {
	const blocksPerPrompt = 32
	r, random := routing.New(routing.Options{}), rand.New(rand.NewPCG(1, 2))
	for i := range max(1, blocks/blocksPerPrompt) {
		call := &routing.Call{
			RequestID: fmt.Sprint("request-", i), Service: "assistant", Rank: "reply", Model: "assistant-small", Session: fmt.Sprint("session-", i),
			Place: "place-1", Region: "region-1", ExpectedTokens: 400,
		}
		for range min(blocksPerPrompt, blocks) {
			call.Blocks = append(call.Blocks, random.Uint64())
		}
		d := r.Choose(fleetStart, call, t, random)
		r.Sent(fleetStart, call, d.Server)
		r.Answered(fleetStart.Add(time.Second), call.RequestID, routing.Answer{})
	}
	return r
}

// queueWith returns an admission queue with waiting requests of 40 organisations.
func queueWith(requests int) *admission.Queue {
	q := &admission.Queue{Daemon: "entry", Ranks: []admission.Rank{{Name: "order"}, {Name: "reply"}, {Name: "draft"}}}
	for i := range requests {
		q.Offer(fleetStart, admission.Request{
			ID: fmt.Sprintf("8f14e45f-ceea-467f-a0e6-%012d", i), Organisation: fmt.Sprint("organisation-", i%40), Rank: "reply",
			Service: "assistant", PromptTokens: 500, MaxTokens: 400, Arrived: fleetStart,
		})
	}
	return q
}

func quarantineWith(n int) *quarantine.List {
	l := quarantine.New(quarantine.Options{})
	var suspects []message.Suspect
	for i := range n {
		suspects = append(suspects, message.Suspect{
			Fingerprint: uint64(i)*2654435761 + 1, Last: fleetStart, Crashes: []string{fmt.Sprintf("instance-place-1-%05d/%d", i%designServers, fleetStart.UnixNano())},
		})
	}
	l.Merge(fleetStart, suspects)
	return l
}

func adoptionWith(configuration []byte) *adoption.State {
	s := &adoption.State{Parse: func([]byte) error { return nil }, Rand: rand.New(rand.NewPCG(1, 1))}
	s.Offer(fleetStart, adoption.Revision{Number: 1, Value: configuration}, adoption.Source{Kind: adoption.KeyValue})
	return s
}

// usageRows returns the usage rows of one daemon: 5 organisations with 3 ranks of the model
// service and one of the order service.
func usageRows(sequence int64) []message.UsageCount {
	var rows []message.UsageCount
	for o := range 5 {
		for _, rankAndService := range [][2]string{{"order", "assistant"}, {"reply", "assistant"}, {"draft", "assistant"}, {"order", "orders"}} {
			rows = append(rows, message.UsageCount{
				Organisation: fmt.Sprintf("organisation-%03d", o), Rank: rankAndService[0], Service: rankAndService[1],
				Requests: uint64(123_456 + sequence), Offered: 4.3e7 + 0.5, Tokens: 4.2e7 + float64(sequence),
			})
		}
	}
	return rows
}

// controlWithUsage returns the control state of a daemon at the root of a place's usage tree,
// with usage from its children and from the roots of other places.
func controlWithUsage(configuration []byte, daemons int) *entry.ControlBench {
	control := newControl(configuration)
	peers := fleetDaemons(daemons)
	control.ApplyRegistrations(fleetStart, peers)
	control.Publish(fleetStart)
	for i, d := range peers[1:min(len(peers), 10)] {
		u := message.Usage{Scope: message.UsageScopeSubtree, Counts: usageRows(1)}
		if i >= 4 {
			u = message.Usage{Scope: message.UsageScopePlace, Name: d.Region + "/" + d.Place, Counts: usageRows(1)}
		}
		control.MergeUsage(fleetStart, d.ID, u)
	}
	control.Tick(fleetStart)
	return control
}
