package bench

import (
	"encoding/json"
	"fmt"
	"time"

	"apricotbridge/internal/entry"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/routing"
)

// Rates of events at a daemon of the design size, per second.
const (
	controlTicks = 10.0
	// controlPolls is the engine polls; each hands one event to the control
	// goroutine.
	controlPolls = 16.0
	// controlDigests is the digests of about 12 links, of which 6 are opened here.
	controlDigests = 12.0
)

// measureControl measures the control goroutine against the numbers of daemons and
// servers.
func measureControl(uint64) (Result, error) {
	var r Result
	configuration, err := fleetConfiguration(4 << 10)
	if err != nil {
		return r, err
	}
	for _, daemons := range daemonSizes {
		of := at(daemons, "daemons")
		m := controlAt(configuration, daemons, designServers)
		now := fleetStart
		peer := fleetDaemons(daemons)[1]
		// Once a second the daemons of the view are built again.
		refresh := processorTime(func() {
			now = now.Add(time.Second)
			m.Publish(now)
		})
		publish := processorTime(func() { m.Publish(now) })
		digest := processorTime(func() { m.Digest(now, peer); m.Publish(now) })
		tick := processorTime(func() { m.Tick(now) })
		links := processorTime(func() { m.Links(now) })
		share := (controlTicks*tick + controlDigests*digest + controlPolls*publish + refresh + links) / 1e6
		r.Figures = append(
			r.Figures, clocked("Publish", of, publish, "us"), clocked("PublishDaemons", of, refresh, "us"), clocked("DigestEvent", of, digest, "us"),
			clocked("Tick", of, tick, "us"), clocked("Links", of, links, "us"),
			clocked("ControlShareOfCore", of, share, ""),
		)
	}
	for _, servers := range serverSizes {
		of := at(servers, "servers")
		m := controlAt(configuration, 60, servers)
		now := fleetStart
		list := fleetInstances(servers)
		full := message.Members{}
		for _, x := range fleetMembers(servers) {
			full.Members = append(full.Members, x.Message())
		}
		data, err := message.Encode(message.KindMembers, full)
		if err != nil {
			return r, err
		}
		r.Figures = append(
			r.Figures,
			clocked("TableBuild", of, processorTime(func() { m.Rebuild(now) }), "us"),
			clocked("InstanceListEvent", of, processorTime(func() { m.List(now, list); m.Publish(now) }), "us"),
			clocked("MergeAllMembers", of, processorTime(func() { m.Members(now, full) }), "us"),
			clocked("EncodeAllMembers", of, processorTime(func() { _, _ = message.Encode(message.KindMembers, full) }), "us"),
			clocked("DecodeAllMembers", of, processorTime(func() { _ = decodeMembers(data) }), "us"),
			Figure{Name: "AllMembers", Policy: of, Value: float64(len(data)), Unit: "bytes"},
		)
	}
	for _, size := range []int{4 << 10, designConfigurationBytes, 500 << 10} {
		text, err := fleetConfiguration(size)
		if err != nil {
			return r, err
		}
		r.Figures = append(r.Figures, clocked("AdoptConfiguration", fmt.Sprintf("%d KB", size>>10), processorTime(func() {
			newControl(text)
		}), "us"))
	}
	text, err := json.Marshal(controlAt(configuration, designDaemons, designServers).Status())
	r.Figures = append(r.Figures, Figure{Name: "OperatorStatus", Policy: "380 daemons", Value: float64(len(text)), Unit: "bytes"})
	return r, err
}

func decodeMembers(data []byte) error {
	e, err := message.Open(data)
	if err != nil {
		return err
	}
	_, err = message.Decode[message.Members](e)
	return err
}

// newControl returns a control state of a daemon. The configurations of the measures
// are valid, so a fault of theirs is one of the program.
func newControl(configuration []byte) *entry.ControlCost {
	m, err := entry.NewControlCost(fleetSettings(fleetDaemons(1)[0]), fleetStart, configuration)
	if err != nil {
		panic(err)
	}
	return m
}

func controlAt(configuration []byte, daemons, servers int) *entry.ControlCost {
	all := fleetDaemons(daemons)
	m := newControl(configuration)
	m.List(fleetStart, fleetInstances(servers))
	m.Daemons(fleetStart, all)
	m.Publish(fleetStart)
	return m
}

// measureMemory measures the memory of the control state against its sizes.
func measureMemory(uint64) (Result, error) {
	var r Result
	configuration, err := fleetConfiguration(designConfigurationBytes)
	if err != nil {
		return r, err
	}
	add := func(name, policy string, value float64) {
		r.Figures = append(r.Figures, Figure{Name: name, Policy: policy, Value: value, Unit: "bytes", WallClock: true})
	}
	for _, n := range serverSizes {
		members := fleetMembers(n)
		add("MembershipSet", at(n, "servers"), heapOf(func() *membership.Set {
			s := &membership.Set{}
			s.Merge(fleetStart, members)
			return s
		}))
		list := fleetInstances(n)
		add("RoutingTable", at(n, "servers"), heapOf(func() *routing.Table { return tableOf(list) }))
	}
	for _, n := range daemonSizes {
		daemons := fleetDaemons(n)
		add("Daemons", at(n, "daemons"), heapOf(func() *membership.Daemons {
			s := &membership.Daemons{Self: daemons[0]}
			s.List(fleetStart, daemons)
			return s
		}))
	}
	for _, filled := range []int{0, 16384, 65536} {
		table := tableOf(fleetInstances(designServers))
		add("RouterOf920Servers", fmt.Sprintf("%d blocks", filled), heapOf(func() *routing.Router { return routerWith(table, filled) }))
	}
	for _, n := range []int{100, 1000, 4096} {
		add("Quarantine", at(n, "suspects"), heapOf(func() any { return quarantineWith(n) }))
	}
	for _, n := range []int{0, 2000, 20_000} {
		add("AdmissionQueue", at(n, "requests"), heapOf(func() any { return queueWith(n) }))
	}
	add("Adoption", "50 KB", heapOf(func() any { return adoptionWith(configuration) }))
	total := heapOf(func() any { return controlAt(configuration, designDaemons, designServers) })
	add("ControlWithoutTraffic", "design size", total)
	full := heapOf(func() any {
		table := tableOf(fleetInstances(designServers))
		return []any{controlAt(configuration, designDaemons, designServers), routerWith(table, 65536), queueWith(20_000), quarantineWith(4096), usageWith(configuration, designDaemons)}
	})
	r.Figures = append(r.Figures, within("AllStateAtItsBounds", "design size", full, "bytes", controlBytesOfMemory))
	for _, n := range daemonSizes {
		add("UsageRows", at(n, "daemons"), heapOf(func() any { return usageWith(configuration, n) }))
	}
	return r, nil
}
