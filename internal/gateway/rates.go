package gateway

import (
	"math"
	"time"

	"apricotbridge/internal/allowance"
	"apricotbridge/internal/backend"
	"apricotbridge/internal/logs"
	"apricotbridge/internal/message"
	"apricotbridge/internal/routing"
)

// noteRate hands on what an answer says about the rate of requests that its server takes. An
// answer without a rate matters only if the server named one before.
func (s *session) noteRate(server routing.Server, sentAt time.Time, rate backend.RequestRate) {
	i := allowance.Incarnation{Server: server.ID, Start: server.Incarnation}
	switch {
	case rate.Unreadable:
		s.g.Log.Info("rate of a server not readable", logs.RequestID, s.call.ID, "Server", server.ID)
	case rate.Stated || s.g.view.Load().limited[i]:
		st := allowance.Statement{Incarnation: i, Limited: rate.Stated, PerSecond: rate.PerSecond, SentAt: sentAt, At: time.Now()}
		s.g.post(func(c *control) { c.noteRates(message.Hello{}, []allowance.Statement{st}) })
	}
}

// noteRates applies what answers said about the rates of servers, and passes on what was new.
// from is the peer that sent it, or zero if this daemon got the answers.
func (c *control) noteRates(from message.Hello, statements []allowance.Statement) {
	var news []allowance.Statement
	for _, st := range statements {
		changed, isNew := c.rates.Note(st)
		if isNew {
			news = append(news, st)
		}
		if changed {
			c.changed = true
			c.g.Log.Info("server limits requests", "Server", st.Incarnation.Server, "Limited", st.Limited, "PerSecond", st.PerSecond, "Source", from.Daemon)
		}
	}
	c.sendRates(news, c.onward(from.Place))
}

// onward returns the peers to which news from a place are passed on. An empty place means
// that they came about here.
func (c *control) onward(place string) func(message.Hello) bool {
	return func(p message.Hello) bool {
		switch {
		case place == "":
			return true
		case !c.topology.ByPlace || !c.topology.Delegate:
			return false // The sender has sent them to all daemons of the place.
		}
		return (place == c.g.Place) != (p.Place == c.g.Place)
	}
}

// sendRates sends rates to the linked peers for which include returns true.
func (c *control) sendRates(statements []allowance.Statement, include func(message.Hello) bool) {
	if len(statements) > 0 {
		sendToLinked(c.g, message.KindRates, encodeRates(time.Now(), statements), include)
	}
}

func encodeRates(now time.Time, statements []allowance.Statement) message.Rates {
	m := message.Rates{Servers: make([]message.ServerRate, len(statements))}
	for i, st := range statements {
		m.Servers[i] = message.ServerRate{
			Server: st.Incarnation.Server, Incarnation: st.Incarnation.Start,
			SentAge: now.Sub(st.SentAt).Milliseconds() + 1, Age: now.Sub(st.At).Milliseconds(),
		}
		if st.Limited {
			m.Servers[i].PerSecond = &st.PerSecond
		}
	}
	return m
}

// decodeRates converts a message to statements. Ages are limited to the time that a rate is
// kept, and rates that are none are left out.
func decodeRates(now time.Time, m message.Rates) []allowance.Statement {
	timeOf := func(age int64) time.Time {
		return now.Add(-time.Duration(max(0, min(age, allowance.Memory.Milliseconds()))) * time.Millisecond)
	}
	list := make([]allowance.Statement, 0, len(m.Servers))
	for _, r := range m.Servers {
		st := allowance.Statement{
			Incarnation: allowance.Incarnation{Server: r.Server, Start: r.Incarnation}, SentAt: timeOf(r.SentAge), At: timeOf(r.Age),
		}
		if r.PerSecond != nil {
			if st.Limited, st.PerSecond = true, *r.PerSecond; !(st.PerSecond >= 0) || math.IsInf(st.PerSecond, 0) {
				continue
			}
		}
		list = append(list, st)
	}
	return list
}

// rateLimit returns what this daemon may send to a server.
func (c *control) rateLimit(i allowance.Incarnation, daemons []string) routing.RateLimit {
	if !c.rates.Has(i) {
		return routing.RateLimit{}
	}
	share := c.rates.Share(i, c.g.Daemon, daemons, c.daemonsListed)
	return routing.RateLimit{Limited: true, PerSecond: share.PerSecond, Burst: share.Burst}
}
