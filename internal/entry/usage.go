package entry

import (
	"time"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
	"apricotbridge/internal/usage"
)

// arrangeUsageTree updates the tree over which usage is summed and returns the
// daemons to which it needs links.
func (c *controlState) arrangeUsageTree() []membership.Daemon {
	t := &c.exchange.usage
	t.Self = c.daemons.Self
	return t.Arrange(c.view.Daemons, func(id string) bool { return c.view.reachable[id] })
}

// sendDueUsage sends the sums that are due.
func (c *controlState) sendDueUsage(now time.Time) {
	t := &c.exchange.usage
	if due := t.ReportDue(now); due {
		t.SetOwnCounters(c.d.dispatcher.AppendUsage(now, nil))
	}
	c.sendUsage(t.Tick(now))
	c.applyUsage(now)
}

func (c *controlState) mergeUsage(now time.Time, from string, m message.Usage) {
	c.sendUsage(c.exchange.usage.Receive(now, from, m))
	c.applyUsage(now)
}

func (c *controlState) sendUsage(out []usage.Report) {
	for _, o := range out {
		for _, id := range o.To {
			c.logSendError(id, peer.Send(c.d.hub, id, message.KindUsage, o.Usage)) // Later reports replace lost ones.
		}
	}
}

// applyUsage passes the usage of other daemons to admission, and the sums of this
// daemon's region to placement.
func (c *controlState) applyUsage(now time.Time) {
	t := &c.exchange.usage
	if rows := t.Others(now); len(rows) > 0 {
		c.d.dispatcher.MergeUsage(now, rows)
	}
	if sums, at := t.Region(c.d.Settings.Region); at.After(c.view.regionUsageAt) {
		c.view.regionUsage, c.view.regionUsageAt = cloneMap(sums), at
	}
}
