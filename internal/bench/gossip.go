package bench

import (
	"slices"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
)

// frameBytes is the header size of a masked WebSocket frame with a payload up to 64 KB.
const frameBytes = 8

// linkGraph holds the peers of each daemon by its index, over links of both directions.
type linkGraph [][]int

func buildLinkGraph(daemons []membership.Daemon) linkGraph {
	index := make(map[string]int, len(daemons))
	for i, d := range daemons {
		index[d.ID] = i
	}
	graph := make(linkGraph, len(daemons))
	addLink := func(a, b int) {
		if !slices.Contains(graph[a], b) {
			graph[a] = append(graph[a], b)
		}
	}
	set := &membership.Daemons{Self: daemons[0]}
	set.ApplyList(fleetStart, daemons)
	for i, d := range daemons {
		set.Self = d
		for _, other := range set.Links(fleetStart) {
			addLink(i, index[other.ID])
			addLink(index[other.ID], i)
		}
	}
	return graph
}

// degrees returns the mean and the highest number of peers.
func (g linkGraph) degrees() (mean, highest float64) {
	for _, peers := range g {
		mean += float64(len(peers)) / float64(len(g))
		highest = max(highest, float64(len(peers)))
	}
	return mean, highest
}

// distances returns the mean and the highest number of hops between two daemons.
func (g linkGraph) distances() (mean, highest float64) {
	pairs := 0.0
	for from := range g {
		distance := make([]int, len(g))
		for i := range distance {
			distance[i] = -1
		}
		distance[from] = 0
		for queue := []int{from}; len(queue) > 0; queue = queue[1:] {
			for _, next := range g[queue[0]] {
				if distance[next] < 0 {
					distance[next] = distance[queue[0]] + 1
					queue = append(queue, next)
				}
			}
		}
		for i, hops := range distance {
			if i != from {
				mean, pairs = mean+float64(hops), pairs+1
				highest = max(highest, float64(hops))
			}
		}
	}
	return mean / max(1, pairs), highest
}

// encodedSize returns the size of a message on a link in bytes.
func encodedSize[B message.Body](kind message.Kind, body B) float64 {
	data, err := message.Encode(kind, body)
	if err != nil {
		panic(err) // All messages of the measures can be encoded.
	}
	return float64(len(data) + frameBytes)
}

// measureGossip measures the encoded bytes that a daemon sends to its peers, with the link
// selection and the codec of the daemon.
func measureGossip(uint64) (Result, error) {
	var r Result
	digestSize := encodedSize(message.KindDigest, message.Digest{Revision: 123_456, Members: 1 << 63, Quarantine: 1 << 63})
	members := message.Members{}
	for _, m := range fleetMembers(designServers) {
		members.Members = append(members.Members, m.Message())
	}
	rows := usageRows(1)
	rowSize := (encodedSize(message.KindUsage, message.Usage{Counts: rows}) - encodedSize(message.KindUsage, message.Usage{Counts: rows[:1]})) / float64(len(rows)-1)
	r.Figures = append(
		r.Figures, Figure{Name: "Digest", Policy: "message", Value: digestSize, Unit: "bytes"},
		Figure{Name: "UsageRow", Policy: "message", Value: rowSize, Unit: "bytes"},
	)
	for _, n := range daemonSizes {
		size := sizeLabel(n, "daemons")
		daemons := fleetDaemons(n)
		graph := buildLinkGraph(daemons)
		mean, highest := graph.degrees()
		hops, diameter := graph.distances()
		add := func(name string, value float64, unit string) {
			r.Figures = append(r.Figures, Figure{Name: name, Policy: size, Value: value, Unit: unit})
		}
		add("Links", mean, "peers")
		add("MostLinks", highest, "peers")
		add("Hops", hops, "hops")
		add("MostHops", diameter, "hops")
		add("DigestBytes", mean*digestSize, "bytes/s")
		add("MostDigestBytes", highest*digestSize, "bytes/s")

		snapshot := message.Members{Members: members.Members}
		for _, d := range daemons {
			snapshot.Daemons = append(snapshot.Daemons, d.Message())
		}
		add("FullSnapshot", encodedSize(message.KindMembers, snapshot), "bytes")
		// All servers of one data centre leave at once; each daemon forwards the changes to
		// all peers once.
		lost := message.Members{Members: members.Members[:designServers/designPlaces]}
		add("DataCentreLossBurst", highest*encodedSize(message.KindMembers, lost), "bytes")
		// 12 failures and 280 replacements a day, each with about four state changes of a
		// server.
		memberSize := encodedSize(message.KindMembers, message.Members{Members: members.Members[:1]})
		add("MemberBytes", highest*memberSize*4*292/secondsPerDay, "bytes/s")

		r.Figures = append(r.Figures, boundedFigure("GossipBytes", size, highest*digestSize+maxUsageBytesPerSecond, "bytes/s", maxControlBytesPerSecond))
	}
	return r, nil
}
