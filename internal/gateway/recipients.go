package gateway

import (
	"time"

	"apricotbridge/internal/message"
)

const (
	// configurationResendDelay is how long after this daemon has adopted a configuration
	// it sends it to peers whose status still shows an older one.
	configurationResendDelay = 500 * time.Millisecond
	// farConfigurationResendDelay is the same for peers in other regions, where few daemons send it.
	farConfigurationResendDelay = 2 * time.Second
	// configurationResendInterval is the least time between two copies of a configuration to one
	// peer. A copy may wait behind others on the link.
	configurationResendInterval = 3 * time.Second
)

// configurationRecipients returns the peers that did not get the configuration from its
// source. A peer that misses it is sent it again when its status shows an older version. One daemon
// of each region sends it to other regions, because the links between them are slow.
func (c *control) configurationRecipients(source string) []string {
	var ids []string
	from := c.peers[source]
	for id, p := range c.peers {
		switch {
		case p.revision >= c.index.Version:
			continue // It has it from another daemon.
		case p.hello.Region != c.g.Region:
			if c.position(p) > 0 || from != nil && from.hello.Region == p.hello.Region {
				continue
			}
		case from == nil:
			// Read from the store: send it to all peers.
		case !c.topology.ByPlace || !c.topology.Delegate, p.hello.Place == from.hello.Place:
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// sendConfiguration sends the configuration to peers, by id.
func (c *control) sendConfiguration(now time.Time, peers []string) {
	if c.index == nil || len(c.index.Document) == 0 || len(peers) == 0 {
		return
	}
	m := message.Configuration{Revision: c.index.Version, Value: message.Compress(c.index.Document)}
	data, err := message.Encode(message.KindConfiguration, m)
	if err != nil {
		c.g.Log.Error(err, "configuration not sent")
		return
	}
	for _, id := range peers {
		if err := c.g.hub.Send(id, message.KindConfiguration, data); err != nil {
			c.g.Log.V(1).Info("configuration not sent", "Peer", id, "Error", err.Error())
			continue
		}
		if p := c.peers[id]; p != nil {
			c.noteConfigurationSent(now, p)
		}
	}
}

func (c *control) noteConfigurationSent(now time.Time, p *peerState) {
	p.sentRevision, p.sentAt = c.index.Version, now
}

// mayResendConfiguration reports whether this daemon sends the configuration to a peer whose status
// still shows an older one.
func (c *control) mayResendConfiguration(now time.Time, p *peerState) bool {
	if p.sentRevision == c.index.Version && now.Sub(p.sentAt) < configurationResendInterval {
		return false
	}
	delay := configurationResendDelay
	if p.hello.Region != c.g.Region && c.position(p) >= suppliersPerPeer {
		delay = farConfigurationResendDelay
	}
	return now.Sub(c.adoptedAt) > delay
}
