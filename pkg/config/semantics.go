package config

import (
	"fmt"
	"math"
	"strings"
	"time"

	"apricotbridge/internal/document"
)

// maxCrashes limits one request to three crashed backend servers: its first
// crash makes it a suspect, and Quarantine.Crashes counts those after it.
const maxCrashes = 2

// floorTolerance allows for rounding errors in sums of floors such as 0.1.
const floorTolerance = 1e-9

// semanticChecker checks rules that the schema cannot express. Values that
// violate the schema are zero here; the document drops further faults of the
// same value.
type semanticChecker struct {
	source *document.Document
	c      *Configuration
}

func (s *semanticChecker) report(path []any, format string, args ...any) {
	s.source.AddFault(path, format, args...)
}

func (s *semanticChecker) check() {
	regions := indexNames(s, "Regions", s.c.Regions, func(r Region) string { return r.Name })
	places := indexNames(s, "Places", s.c.Places, func(p Place) string { return p.Name })
	indexNames(s, "Classes", s.c.Classes, func(c Class) string { return c.Name })
	ranks := indexNames(s, "Ranks", s.c.Ranks, func(r Rank) string { return r.Name })
	services := indexNames(s, "Services", s.c.Services, func(v Service) string { return v.Name })
	indexNames(s, "Organisations", s.c.Organisations, func(o Organisation) string { return o.Name })

	for i, p := range s.c.Places {
		s.checkExists(regions, "region", p.Region, "Places", i, "Region")
	}
	s.checkLinks(regions)
	s.checkRanks()
	for i := range s.c.Services {
		s.checkService(i, places, ranks)
	}
	s.checkModels()
	s.checkOrganisations(ranks, services)
	s.checkLedger()
	s.checkQuarantine()
}

// indexNames returns the index of each name in a list and reports duplicate
// names.
func indexNames[T any](s *semanticChecker, list string, items []T, name func(T) string) map[string]int {
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

// checkExists reports a reference to a name that does not exist.
func (s *semanticChecker) checkExists(existing map[string]int, kind, name string, path ...any) {
	if _, ok := existing[name]; !ok {
		s.report(path, "%s %q does not exist", kind, name)
	}
}

// checkAllExist reports the references in a list that do not exist or occur
// twice.
func (s *semanticChecker) checkAllExist(existing map[string]int, kind string, list []string, path ...any) {
	seen := map[string]bool{}
	for i, name := range list {
		itemPath := append(append([]any{}, path...), i)
		s.checkExists(existing, kind, name, itemPath...)
		if seen[name] {
			s.report(itemPath, "%s %q is listed twice", kind, name)
		}
		seen[name] = true
	}
}

func (s *semanticChecker) checkLinks(regions map[string]int) {
	linkIndex := map[[2]string]int{}
	for i, l := range s.c.Links {
		s.checkExists(regions, "region", l.From, "Links", i, "From")
		s.checkExists(regions, "region", l.To, "Links", i, "To")
		if l.From == l.To {
			s.report([]any{"Links", i, "To"}, "link joins region %q to itself", l.To)
			continue
		}
		pair := [2]string{min(l.From, l.To), max(l.From, l.To)}
		if j, ok := linkIndex[pair]; ok {
			s.report([]any{"Links", i}, "regions %q and %q are already joined by Links[%d]", l.From, l.To, j)
			continue
		}
		linkIndex[pair] = i
	}
}

func (s *semanticChecker) checkRanks() {
	minInterval := s.minTokenInterval()
	floors := 0.0
	for i, r := range s.c.Ranks {
		s.checkPositive(&r.FirstToken, "Ranks", i, "FirstToken")
		s.checkPositive(&r.Deadline, "Ranks", i, "Deadline")
		s.checkPositive(r.BetweenTokens, "Ranks", i, "BetweenTokens")
		if r.Deadline > 0 && r.FirstToken > r.Deadline {
			s.report([]any{"Ranks", i, "FirstToken"}, "target %v is longer than the deadline %v", r.FirstToken, r.Deadline)
		}
		if between := r.BetweenTokens.Or(0); between > 0 && between < minInterval {
			s.report([]any{"Ranks", i, "BetweenTokens"},
				"target %v cannot be met: the fastest class takes %v for a token", between, minInterval)
		}
		floors += r.Floor
		if floors > 1+floorTolerance && floors-r.Floor <= 1+floorTolerance {
			s.report([]any{"Ranks", i, "Floor"}, "floors add up to %.3g, which is over 1", floors)
		}
	}
}

// minTokenInterval returns the shortest time between tokens that any class can
// reach, or 0 when there is no model service. A single stream is at most as
// fast as all slots of its server together.
func (s *semanticChecker) minTokenInterval() time.Duration {
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

// checkPositive reports a duration that is set but not positive.
func (s *semanticChecker) checkPositive(d *Duration, path ...any) {
	if d != nil && *d <= 0 {
		s.report(path, "must be longer than zero")
	}
}

func (s *semanticChecker) checkService(i int, places, ranks map[string]int) {
	v := s.c.Services[i]
	s.checkExists(ranks, "rank", v.DefaultRank, "Services", i, "DefaultRank")
	s.checkAllExist(places, "place", v.Places, "Services", i, "Places")
	s.checkPositive(v.Timeout, "Services", i, "Timeout")
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

// checkModels reports model names that refer to more than one service.
func (s *semanticChecker) checkModels() {
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

func (s *semanticChecker) checkOrganisations(ranks, services map[string]int) {
	owner := map[string]string{}
	for i, o := range s.c.Organisations {
		s.checkAllExist(ranks, "rank", o.Ranks, "Organisations", i, "Ranks")
		s.checkAllExist(services, "service", o.Services, "Organisations", i, "Services")
		for j, hash := range o.TokenHashes {
			if first, ok := owner[hash]; ok {
				s.report([]any{"Organisations", i, "TokenHashes", j}, "token hash is already used by organisation %q", first)
				continue
			}
			owner[hash] = o.Name
		}
	}
}

// checkLedger checks that an idempotency key is retained for longer than its
// call may run. If the key expired earlier, a retry would run the order twice.
func (s *semanticChecker) checkLedger() {
	retention := DefaultRetention
	if s.c.Ledger != nil {
		s.checkPositive(s.c.Ledger.Retention, "Ledger", "Retention")
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

func (s *semanticChecker) checkQuarantine() {
	q := s.c.Quarantine
	if q == nil {
		return
	}
	s.checkPositive(q.Expiry, "Quarantine", "Expiry")
	if q.Crashes > maxCrashes {
		s.report([]any{"Quarantine", "Crashes"}, "limit %d lets one request crash more than %d backend servers", q.Crashes, maxCrashes+1)
	}
}
