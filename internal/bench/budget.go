package bench

import "github.com/juju/errors"

// budgetParts are the figures at the design size whose sum a daemon spends on control:
// what it sends to peers, and what it exchanges with outside systems.
var budgetParts = []struct {
	measure, figure, policy string
	// ordinary, root and relay say whose sum has the figure. The root of a place
	// with the most links passes on the sums of usage; a relay reads the instance
	// list. A daemon is not both.
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

// measureBudget sums the bytes of control at the design size.
func measureBudget(seed uint64) (Result, error) {
	var r Result
	results := map[string]Result{}
	ordinary, root, relay := 0.0, 0.0, 0.0
	for _, part := range budgetParts {
		if _, ok := results[part.measure]; !ok {
			measured, err := Run(part.measure, seed)
			if err != nil {
				return r, err
			}
			results[part.measure] = measured
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
		within("ControlBytes", "an ordinary daemon", ordinary, "bytes/s", controlBytesPerSecond),
		within("ControlBytes", "root", root, "bytes/s", controlBytesPerSecond),
		within("ControlBytes", "relay", relay, "bytes/s", controlBytesPerSecond),
	}
	return r, nil
}
