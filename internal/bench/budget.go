package bench

import "github.com/juju/errors"

// controlFigures are the figures at the design size that add up to the control traffic of a
// daemon: messages to peers and traffic with outside systems.
var controlFigures = []struct {
	measure, figure, policy string
	// ordinary, root and relay select the daemons whose sum includes the figure. A root
	// is the root of a place's usage tree; a relay reads the instance list. Both are taken
	// to have the most links, and no daemon is both.
	ordinary, root, relay bool
}{
	{"gossip", "DigestBytes", "380 daemons", true, false, false},
	{"gossip", "MostDigestBytes", "380 daemons", false, true, true},
	{"gossip", "MemberBytes", "380 daemons", true, true, true},
	{"usage", "SentBytes", "380 daemons", true, false, true},
	{"usage", "MostSentBytes", "380 daemons", false, true, false},
	{"spread", "SentBytes", "380 daemons", true, true, true},
	{"keyvalue", "ReceivedBytes", "380 daemons", true, true, true},
	{"lists", "EnginePollBytes", "a daemon", true, true, true},
	{"lists", "InstanceBytes", "920 servers", false, false, true},
}

// measureBudget sums the bytes of control traffic at the design size.
func measureBudget(seed uint64) (Result, error) {
	var r Result
	results := map[string]Result{}
	ordinary, root, relay := 0.0, 0.0, 0.0
	for _, part := range controlFigures {
		if _, ok := results[part.measure]; !ok {
			result, err := Run(part.measure, seed)
			if err != nil {
				return r, err
			}
			results[part.measure] = result
		}
		found := false
		for _, f := range results[part.measure].Figures {
			if f.Name != part.figure || f.Policy != part.policy {
				continue
			}
			found = true
			if part.ordinary {
				ordinary += f.Value
			}
			if part.root {
				root += f.Value
			}
			if part.relay {
				relay += f.Value
			}
		}
		if !found {
			return r, errors.NotFoundf("figure %s of measure %s", part.figure, part.measure)
		}
	}
	r.Figures = []Figure{
		boundedFigure("ControlBytes", "an ordinary daemon", ordinary, "bytes/s", maxControlBytesPerSecond),
		boundedFigure("ControlBytes", "root", root, "bytes/s", maxControlBytesPerSecond),
		boundedFigure("ControlBytes", "relay", relay, "bytes/s", maxControlBytesPerSecond),
	}
	return r, nil
}
