package gateway

import (
	"time"

	"apricotbridge/internal/fleet"
	"apricotbridge/internal/message"
)

// noteLeaving applies that servers stated in answers that they are leaving, and passes on what
// was new. place is that of the peer that sent it, or empty if this daemon got the answers.
// Delegates forward between the places.
func (c *control) noteLeaving(now time.Time, place string, servers []fleet.Incarnation) {
	var news []fleet.Incarnation
	for _, i := range servers {
		if change, ok := c.fleet.NoteLeaving(now, i); ok {
			c.serverChanged(change)
			news = append(news, i)
		}
	}
	c.sendLeaving(news, c.onward(place))
}

// sendLeaving sends leaving servers to the linked peers for which include returns true.
func (c *control) sendLeaving(servers []fleet.Incarnation, include func(message.Hello) bool) {
	if len(servers) == 0 {
		return
	}
	var m message.Leaving
	for _, i := range servers {
		m.Servers = append(m.Servers, message.LeavingServer{Server: i.ID, Incarnation: i.Start})
	}
	sendToLinked(c.g, message.KindLeaving, m, include)
}

func decodeLeaving(m message.Leaving) []fleet.Incarnation {
	list := make([]fleet.Incarnation, len(m.Servers))
	for i, s := range m.Servers {
		list[i] = fleet.Incarnation{ID: s.Server, Start: s.Incarnation}
	}
	return list
}
