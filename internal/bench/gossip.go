package bench

import (
	"slices"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
)

// frameBytes is the header of a masked WebSocket frame with up to 64 KB.
const frameBytes = 8

// linkGraph holds the peers of each daemon by its number: those it opens links to
// and those that open one to it.
type linkGraph [][]int

func linksOf(daemons []membership.Daemon) linkGraph {
	index := make(map[string]int, len(daemons))
	for i, d := range daemons {
		index[d.ID] = i
	}
	graph := make(linkGraph, len(daemons))
	join := func(a, b int) {
		if !slices.Contains(graph[a], b) {
			graph[a] = append(graph[a], b)
		}
	}
	set := &membership.Daemons{Self: daemons[0]}
	set.List(fleetStart, daemons)
	for i, d := range daemons {
		set.Self = d
		for _, other := range set.Links(fleetStart) {
			join(i, index[other.ID])
			join(index[other.ID], i)
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
		seen := make([]int, len(g))
		for i := range seen {
			seen[i] = -1
		}
		seen[from] = 0
		for queue := []int{from}; len(queue) > 0; queue = queue[1:] {
			for _, next := range g[queue[0]] {
				if seen[next] < 0 {
					seen[next] = seen[queue[0]] + 1
					queue = append(queue, next)
				}
			}
		}
		for i, hops := range seen {
			if i != from {
				mean, pairs = mean+float64(hops), pairs+1
				highest = max(highest, float64(hops))
			}
		}
	}
	return mean / max(1, pairs), highest
}

// sized returns the bytes of a message on a link.
func sized[B message.Body](kind message.Kind, body B) float64 {
	data, err := message.Encode(kind, body)
	if err != nil {
		panic(err) // The bodies of the measures can be encoded.
	}
	return float64(len(data) + frameBytes)
}

// measureGossip counts the encoded bytes that a daemon sends to its peers, with the
// real choice of links and the real codec.
func measureGossip(uint64) (Result, error) {
	var r Result
	digest := sized(message.KindDigest, message.Digest{Revision: 123_456, Members: 1 << 63, Quarantine: 1 << 63})
	members := message.Members{}
	for _, m := range fleetMembers(designServers) {
		members.Members = append(members.Members, m.Message())
	}
	rows := usageRows(1)
	row := (sized(message.KindUsage, message.Usage{Counts: rows}) - sized(message.KindUsage, message.Usage{Counts: rows[:1]})) / float64(len(rows)-1)
	r.Figures = append(
		r.Figures, Figure{Name: "Digest", Policy: "message", Value: digest, Unit: "bytes"},
		Figure{Name: "UsageRow", Policy: "message", Value: row, Unit: "bytes"},
	)
	for _, n := range daemonSizes {
		of := at(n, "daemons")
		daemons := fleetDaemons(n)
		graph := linksOf(daemons)
		mean, highest := graph.degrees()
		hops, diameter := graph.distances()
		add := func(name string, value float64, unit string) {
			r.Figures = append(r.Figures, Figure{Name: name, Policy: of, Value: value, Unit: unit})
		}
		add("Links", mean, "peers")
		add("MostLinks", highest, "peers")
		add("Hops", hops, "hops")
		add("MostHops", diameter, "hops")
		add("DigestBytes", mean*digest, "bytes/s")
		add("MostDigestBytes", highest*digest, "bytes/s")

		all := message.Members{Members: members.Members}
		for _, d := range daemons {
			all.Daemons = append(all.Daemons, d.Message())
		}
		add("FullSnapshot", sized(message.KindMembers, all), "bytes")
		// Of 920 servers, those of one data centre leave at once; each daemon passes
		// the changes on to all peers once.
		lost := message.Members{Members: members.Members[:designServers/designPlaces]}
		add("DataCentreLossBurst", highest*sized(message.KindMembers, lost), "bytes")
		// 12 failures and 280 replacements a day change the state of a server about
		// four times each.
		one := sized(message.KindMembers, message.Members{Members: members.Members[:1]})
		add("MemberBytes", highest*one*4*292/secondsPerDay, "bytes/s")

		r.Figures = append(r.Figures, within("GossipBytes", of, highest*digest+usageBytes, "bytes/s", controlBytesPerSecond))
	}
	return r, nil
}
