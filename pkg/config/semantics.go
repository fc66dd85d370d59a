package config

import (
	"fmt"
	"math"
	"strings"
	"time"

	"apricotbridge/internal/document"
)

// maxCrashes keeps the promise that one request costs at most three backend
// servers: the first crash makes it a suspect, and the limit counts those after it.
const maxCrashes = 2

// floorTolerance allows for rounding when floors such as 0.1 are added up.
const floorTolerance = 1e-9

// semantics checks what the schema cannot express. Values that the schema has
// found at fault are zero here, and the document drops second faults of them.
type semantics struct {
	document *document.Document
	c        *Configuration
}

func (s *semantics) report(path []any, format string, args ...any) {
	s.document.Report(path, format, args...)
}

func (s *semantics) check() {
	regions := names(s, "Regions", s.c.Regions, func(r Region) string { return r.Name })
	places := names(s, "Places", s.c.Places, func(p Place) string { return p.Name })
	names(s, "Classes", s.c.Classes, func(c Class) string { return c.Name })
	ranks := names(s, "Ranks", s.c.Ranks, func(r Rank) string { return r.Name })
	services := names(s, "Services", s.c.Services, func(v Service) string { return v.Name })
	names(s, "Organisations", s.c.Organisations, func(o Organisation) string { return o.Name })

	for i, p := range s.c.Places {
		s.known(regions, "region", p.Region, "Places", i, "Region")
	}
	s.links(regions)
	s.ranks()
	for i := range s.c.Services {
		s.service(i, places, ranks)
	}
	s.models()
	s.organisations(ranks, services)
	s.ledger()
	s.quarantine()
}

// names returns the names of a list and reports those that occur twice.
func names[T any](s *semantics, list string, items []T, name func(T) string) map[string]int {
	found := map[string]int{}
	for i, item := range items {
		n := name(item)
		if first, ok := found[n]; ok {
			s.report([]any{list, i, "Name"}, "name %q is already used by %s[%d]", n, list, first)
			continue
		}
		found[n] = i
	}
	return found
}

// known reports a name that does not exist.
func (s *semantics) known(existing map[string]int, what, name string, path ...any) {
	if _, ok := existing[name]; !ok {
		s.report(path, "%s %q does not exist", what, name)
	}
}

// allKnown reports the names of a list that do not exist or occur twice.
func (s *semantics) allKnown(existing map[string]int, what string, list []string, path ...any) {
	seen := map[string]bool{}
	for i, name := range list {
		at := append(append([]any{}, path...), i)
		s.known(existing, what, name, at...)
		if seen[name] {
			s.report(at, "%s %q is listed twice", what, name)
		}
		seen[name] = true
	}
}

func (s *semantics) links(regions map[string]int) {
	first := map[[2]string]int{}
	for i, l := range s.c.Links {
		s.known(regions, "region", l.From, "Links", i, "From")
		s.known(regions, "region", l.To, "Links", i, "To")
		if l.From == l.To {
			s.report([]any{"Links", i, "To"}, "link joins region %q to itself", l.To)
			continue
		}
		pair := [2]string{min(l.From, l.To), max(l.From, l.To)}
		if j, ok := first[pair]; ok {
			s.report([]any{"Links", i}, "regions %q and %q are already joined by Links[%d]", l.From, l.To, j)
			continue
		}
		first[pair] = i
	}
}

func (s *semantics) ranks() {
	fastest := s.fastest()
	floors := 0.0
	for i, r := range s.c.Ranks {
		s.positive(&r.FirstToken, "Ranks", i, "FirstToken")
		s.positive(&r.Deadline, "Ranks", i, "Deadline")
		s.positive(r.BetweenTokens, "Ranks", i, "BetweenTokens")
		if r.Deadline > 0 && r.FirstToken > r.Deadline {
			s.report([]any{"Ranks", i, "FirstToken"}, "target %v is longer than the deadline %v", r.FirstToken, r.Deadline)
		}
		if between := r.BetweenTokens.Or(0); between > 0 && between < fastest {
			s.report([]any{"Ranks", i, "BetweenTokens"},
				"target %v cannot be met: the fastest class takes %v for a token", between, fastest)
		}
		floors += r.Floor
		if floors > 1+floorTolerance && floors-r.Floor <= 1+floorTolerance {
			s.report([]any{"Ranks", i, "Floor"}, "floors add up to %.3g, which is over 1", floors)
		}
	}
}

// fastest returns the shortest time between tokens that any class can reach, or
// 0 when no service needs it. A stream is at best as fast as all streams of its
// server together.
func (s *semantics) fastest() time.Duration {
	rate := 0.0
	for _, c := range s.c.Classes {
		rate = max(rate, c.TokensPerSecond)
	}
	for _, v := range s.c.Services {
		if v.Kind == ServiceKindModel && rate > 0 {
			return time.Duration(min(float64(time.Second)/rate, math.MaxInt64/2))
		}
	}
	return 0
}

// positive reports a time span of zero.
func (s *semantics) positive(d *Duration, path ...any) {
	if d != nil && *d <= 0 {
		s.report(path, "must be longer than zero")
	}
}

func (s *semantics) service(i int, places, ranks map[string]int) {
	v := s.c.Services[i]
	s.known(ranks, "rank", v.DefaultRank, "Services", i, "DefaultRank")
	s.allKnown(places, "place", v.Places, "Services", i, "Places")
	s.positive(v.Timeout, "Services", i, "Timeout")
	if v.Kind == ServiceKindPlain {
		if strings.ContainsAny(v.Name, "/?#% ") {
			s.report([]any{"Services", i, "Name"}, "name %q cannot be a segment of the path /services/NAME/", v.Name)
		}
		if len(v.Models) > 0 {
			s.report([]any{"Services", i, "Models"}, "a Plain service has no models")
		}
	}
	if v.LookupPath == "" {
		return
	}
	if !strings.HasPrefix(v.LookupPath, "/") || !strings.Contains(v.LookupPath, "{Key}") {
		s.report([]any{"Services", i, "LookupPath"}, "path %q must start with / and contain {Key}", v.LookupPath)
	}
}

// models reports model names that lead to more than one service.
func (s *semantics) models() {
	owner := map[string]string{}
	for i, v := range s.c.Services {
		if v.Kind == ServiceKindModel {
			if _, ok := owner[v.Name]; !ok {
				owner[v.Name] = fmt.Sprintf("Services[%d].Name", i)
			}
		}
	}
	for i, v := range s.c.Services {
		for j, model := range v.Models {
			if first, ok := owner[model]; ok {
				s.report([]any{"Services", i, "Models", j}, "model %q is already named by %s", model, first)
				continue
			}
			owner[model] = fmt.Sprintf("Services[%d].Models[%d]", i, j)
		}
	}
}

func (s *semantics) organisations(ranks, services map[string]int) {
	owner := map[string]string{}
	for i, o := range s.c.Organisations {
		s.allKnown(ranks, "rank", o.Ranks, "Organisations", i, "Ranks")
		s.allKnown(services, "service", o.Services, "Organisations", i, "Services")
		for j, hash := range o.TokenHashes {
			if first, ok := owner[hash]; ok {
				s.report([]any{"Organisations", i, "TokenHashes", j}, "token hash is already used by organisation %q", first)
				continue
			}
			owner[hash] = o.Name
		}
	}
}

// ledger checks that a key is remembered for at least as long as its call may
// run; a key forgotten earlier would let its order run twice.
func (s *semantics) ledger() {
	retention := DefaultRetention
	if s.c.Ledger != nil {
		s.positive(s.c.Ledger.Retention, "Ledger", "Retention")
		retention = s.c.Ledger.Retention.Or(DefaultRetention)
	}
	for i, v := range s.c.Services {
		if v.Repeat != ServiceRepeatNever {
			continue
		}
		if timeout := v.Timeout.Or(DefaultServiceTimeout); timeout >= retention {
			s.report([]any{"Ledger", "Retention"},
				"retention %v is not longer than the timeout %v of Services[%d], whose calls must not be repeated", retention, timeout, i)
		}
	}
}

func (s *semantics) quarantine() {
	q := s.c.Quarantine
	if q == nil {
		return
	}
	s.positive(q.Expiry, "Quarantine", "Expiry")
	if q.Crashes > maxCrashes {
		s.report([]any{"Quarantine", "Crashes"}, "limit %d lets one request crash more than %d backend servers", q.Crashes, maxCrashes+1)
	}
}
