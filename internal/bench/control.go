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

// Rates of events at a daemon at the design size, per second.
const (
	controlTicksPerSecond = 10.0
	// controlPollsPerSecond is the rate of engine polls; each sends one event to the
	// control goroutine.
	controlPollsPerSecond = 16.0
	// controlDigestsPerSecond is the digests over about 12 links, of which this daemon
	// opened 6, at one per second each.
	controlDigestsPerSecond = 12.0
)

// measureControl measures the processor time of control events by the numbers of daemons
// and servers.
func measureControl(uint64) (Result, error) {
	var r Result
	configuration, err := fleetConfiguration(4 << 10)
	if err != nil {
		return r, err
	}
	for _, daemons := range daemonSizes {
		size := sizeLabel(daemons, "daemons")
		control := controlOfSize(configuration, daemons, designServers)
		now := fleetStart
		peer := fleetDaemons(daemons)[1]
		// Once a second the list of daemons in the published view is rebuilt.
		refresh := processorTime(func() {
			now = now.Add(time.Second)
			control.Publish(now)
		})
		publish := processorTime(func() { control.Publish(now) })
		digest := processorTime(func() { control.HandleDigest(now, peer); control.Publish(now) })
		tick := processorTime(func() { control.Tick(now) })
		links := processorTime(func() { control.CountLinks(now) })
		share := (controlTicksPerSecond*tick + controlDigestsPerSecond*digest + controlPollsPerSecond*publish + refresh + links) / 1e6
		r.Figures = append(
			r.Figures, wallClockFigure("Publish", size, publish, "us"), wallClockFigure("PublishDaemons", size, refresh, "us"), wallClockFigure("DigestEvent", size, digest, "us"),
			wallClockFigure("Tick", size, tick, "us"), wallClockFigure("Links", size, links, "us"),
			wallClockFigure("ControlShareOfCore", size, share, ""),
		)
	}
	for _, servers := range serverSizes {
		size := sizeLabel(servers, "servers")
		control := controlOfSize(configuration, 60, servers)
		now := fleetStart
		list := fleetInstances(servers)
		allMembers := message.Members{}
		for _, member := range fleetMembers(servers) {
			allMembers.Members = append(allMembers.Members, member.Message())
		}
		data, err := message.Encode(message.KindMembers, allMembers)
		if err != nil {
			return r, err
		}
		r.Figures = append(
			r.Figures,
			wallClockFigure("TableBuild", size, processorTime(func() { control.Rebuild(now) }), "us"),
			wallClockFigure("InstanceListEvent", size, processorTime(func() { control.ApplyInstanceList(now, list); control.Publish(now) }), "us"),
			wallClockFigure("MergeAllMembers", size, processorTime(func() { control.MergeMembers(now, allMembers) }), "us"),
			wallClockFigure("EncodeAllMembers", size, processorTime(func() { _, _ = message.Encode(message.KindMembers, allMembers) }), "us"),
			wallClockFigure("DecodeAllMembers", size, processorTime(func() { _ = decodeMembers(data) }), "us"),
			Figure{Name: "AllMembers", Policy: size, Value: float64(len(data)), Unit: "bytes"},
		)
	}
	for _, size := range []int{4 << 10, designConfigurationBytes, 500 << 10} {
		text, err := fleetConfiguration(size)
		if err != nil {
			return r, err
		}
		r.Figures = append(r.Figures, wallClockFigure("AdoptConfiguration", fmt.Sprintf("%d KB", size>>10), processorTime(func() {
			newControl(text)
		}), "us"))
	}
	text, err := json.Marshal(controlOfSize(configuration, designDaemons, designServers).Status())
	r.Figures = append(r.Figures, Figure{Name: "OperatorStatus", Policy: "380 daemons", Value: float64(len(text)), Unit: "bytes"})
	return r, err
}

func decodeMembers(encoded []byte) error {
	envelope, err := message.DecodeEnvelope(encoded)
	if err != nil {
		return err
	}
	_, err = message.Decode[message.Members](envelope)
	return err
}

// newControl returns the control state of a daemon. It panics on an invalid configuration,
// since the measures use only valid ones.
func newControl(configuration []byte) *entry.ControlBench {
	control, err := entry.NewControlBench(fleetSettings(fleetDaemons(1)[0]), fleetStart, configuration)
	if err != nil {
		panic(err)
	}
	return control
}

func controlOfSize(configuration []byte, daemons, servers int) *entry.ControlBench {
	peers := fleetDaemons(daemons)
	control := newControl(configuration)
	control.ApplyInstanceList(fleetStart, fleetInstances(servers))
	control.ApplyRegistrations(fleetStart, peers)
	control.Publish(fleetStart)
	return control
}

// measureMemory measures the memory of the control state by the sizes of its parts.
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
		add("MembershipSet", sizeLabel(n, "servers"), heapOf(func() *membership.Set {
			s := &membership.Set{}
			s.Merge(fleetStart, members)
			return s
		}))
		list := fleetInstances(n)
		add("RoutingTable", sizeLabel(n, "servers"), heapOf(func() *routing.Table { return routingTable(list) }))
	}
	for _, n := range daemonSizes {
		daemons := fleetDaemons(n)
		add("Daemons", sizeLabel(n, "daemons"), heapOf(func() *membership.Daemons {
			s := &membership.Daemons{Self: daemons[0]}
			s.ApplyList(fleetStart, daemons)
			return s
		}))
	}
	for _, blocks := range []int{0, 16384, 65536} {
		table := routingTable(fleetInstances(designServers))
		add("RouterOf920Servers", fmt.Sprintf("%d blocks", blocks), heapOf(func() *routing.Router { return routerWith(table, blocks) }))
	}
	for _, n := range []int{100, 1000, 4096} {
		add("Quarantine", sizeLabel(n, "suspects"), heapOf(func() any { return quarantineWith(n) }))
	}
	for _, n := range []int{0, 2000, 20_000} {
		add("AdmissionQueue", sizeLabel(n, "requests"), heapOf(func() any { return queueWith(n) }))
	}
	add("Adoption", "50 KB", heapOf(func() any { return adoptionWith(configuration) }))
	total := heapOf(func() any { return controlOfSize(configuration, designDaemons, designServers) })
	add("ControlWithoutTraffic", "design size", total)
	allState := heapOf(func() any {
		table := routingTable(fleetInstances(designServers))
		return []any{controlOfSize(configuration, designDaemons, designServers), routerWith(table, 65536), queueWith(20_000), quarantineWith(4096), controlWithUsage(configuration, designDaemons)}
	})
	r.Figures = append(r.Figures, boundedFigure("AllStateAtItsBounds", "design size", allState, "bytes", maxControlMemoryBytes))
	for _, n := range daemonSizes {
		add("UsageRows", sizeLabel(n, "daemons"), heapOf(func() any { return controlWithUsage(configuration, n) }))
	}
	return r, nil
}
