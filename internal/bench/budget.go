package bench

import "github.com/juju/errors"

// budgetParts are the figures at the design size whose sum a daemon spends on control:
// what it sends to peers, and what it exchanges with outside systems.
var budgetParts = []struct {
	measure, figure, policy string
	// ordinary and busiest say whose sum has the figure. The busiest daemon has the
	// most links, is the root of its place and reads the instance list.
	ordinary, busiest bool
}{
	{"gossip", "DigestBytes", "380 daemons", true, false},
	{"gossip", "MostDigestBytes", "380 daemons", false, true},
	{"gossip", "MemberBytes", "380 daemons", true, true},
	{"usage", "SentBytes", "380 daemons", true, false},
	{"usage", "MostSentBytes", "380 daemons", false, true},
	{"spread", "SentBytes", "380 daemons", true, true},
	{"keyvalue", "ReceivedBytes", "380 daemons", true, true},
	{"lists", "EnginePollBytes", "a daemon", true, true},
	{"lists", "InstanceBytes", "920 servers", false, true},
}

// measureBudget sums the bytes of control at the design size.
func measureBudget(seed uint64) (Result, error) {
	var r Result
	results := map[string]Result{}
	ordinary, busiest := 0.0, 0.0
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
			if part.busiest {
				busiest += f.Value
			}
		}
		if !found {
			return r, errors.NotFoundf("figure %s of measure %s", part.figure, part.measure)
		}
	}
	r.Figures = []Figure{
		within("ControlBytes", "an ordinary daemon", ordinary, "bytes/s", controlBytesPerSecond),
		within("ControlBytes", "root and relay", busiest, "bytes/s", controlBytesPerSecond),
	}
	return r, nil
}
