package peer

import (
	"github.com/rcrowley/go-metrics"

	"apricotbridge/internal/message"
)

// counters count messages and bytes by event and kind, under names such as
// peer.sent.Digest.bytes.
type counters struct {
	messages, bytes map[string]metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{messages: map[string]metrics.Counter{}, bytes: map[string]metrics.Counter{}}
	for _, event := range []string{"sent", "received", "dropped", "refused"} {
		for _, kind := range []message.Kind{
			message.KindHello, message.KindDigest, message.KindConfiguration, message.KindFetch, message.KindMembers,
			message.KindUsage, message.KindQuarantine, message.KindForward, message.KindForwardAnswer,
			message.KindCancel, message.KindHandover, message.KindHandoverAccepted, message.KindStatus, message.KindListing, message.KindRows, message.KindEvidence,
			message.KindLeft, "Unknown",
		} {
			key := event + "." + string(kind)
			c.messages[key] = metrics.GetOrRegisterCounter("peer."+key+".messages", r)
			c.bytes[key] = metrics.GetOrRegisterCounter("peer."+key+".bytes", r)
		}
	}
	return c
}

// count counts a message. The kind comes from the peer, so unknown kinds share a
// counter.
func (c *counters) count(event string, kind message.Kind, bytes int) {
	key := event + "." + string(kind)
	if c.messages[key] == nil {
		key = event + ".Unknown"
	}
	c.messages[key].Inc(1)
	c.bytes[key].Inc(int64(bytes))
}
