package entry

import (
	"time"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
	"apricotbridge/internal/usage"
)

// usageLinks arranges the tree over which usage is summed and returns the daemons to
// which it needs links.
func (c *controlState) usageLinks() []membership.Daemon {
	t := &c.exchange.usage
	t.Self = c.daemons.Self
	return t.Arrange(c.view.Daemons, func(id string) bool { return c.view.reached[id] })
}

// shareUsage sends the sums that are due.
func (c *controlState) shareUsage(now time.Time) {
	t := &c.exchange.usage
	if out := t.Due(now); out {
		t.Own(c.d.dispatcher.Usage(now, nil))
	}
	c.sendUsage(t.Tick(now))
	c.usageTaken(now)
}

func (c *controlState) mergeUsage(now time.Time, from string, m message.Usage) {
	c.sendUsage(c.exchange.usage.Receive(now, from, m))
	c.usageTaken(now)
}

func (c *controlState) sendUsage(out []usage.Out) {
	for _, o := range out {
		for _, id := range o.To {
			c.answered(id, peer.Send(c.d.hub, id, message.KindUsage, o.Usage)) // Later reports make up for lost ones.
		}
	}
}

// usageTaken hands on what changed: the work of others to admission, and the sums of
// the own region to placement.
func (c *controlState) usageTaken(now time.Time) {
	t := &c.exchange.usage
	if rows := t.Others(now); len(rows) > 0 {
		c.d.dispatcher.MergeUsage(now, rows)
	}
	if sums, at := t.Region(c.d.Settings.Region); at.After(c.view.usageAt) {
		c.view.usage, c.view.usageAt = cloneMap(sums), at
	}
}
