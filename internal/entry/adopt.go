package entry

import (
	"time"

	"apricotbridge/pkg/config"
)

// Sources of a configuration.
const (
	fromKeyValue = "KeyValue"
	fromPeer     = "Peer"
)

// offer takes a configuration that was read or pushed.
func (c *controlState) offer(_ time.Time, revision int64, text []byte, source, _ string) {
	if revision <= c.view.Revision {
		return
	}
	parsed, err := config.Parse(text)
	if err != nil {
		c.d.Log.Error(err, "configuration refused; the last good one stays in force", "Revision", revision, "InForce", c.view.Revision)
		return
	}
	c.view.Confirmed = source
	c.text = text
	c.adopt(revision, parsed)
	c.pushConfiguration()
}
