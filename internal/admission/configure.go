package admission

// Configure applies a new configuration. Waiting requests keep their
// order; those of a removed rank join the least urgent one.
func (q *Queue) Configure(ranks []Rank, organisations []Organisation) {
	q.initialise()
	var moved []*item
	for _, p := range q.pools {
		for r := range p.ranks {
			for _, f := range p.ranks[r].flows {
				for f != nil && f.head != nil {
					it := f.head
					q.unlinkItem(it)
					moved = append(moved, it)
				}
			}
		}
	}
	old := q.Ranks
	q.setRanks(ranks)
	for _, p := range q.pools {
		p.setRanks(q, old)
	}
	q.setOrganisations(organisations)
	for _, it := range q.items {
		it.flow = it.pool.flowOf(q, q.rankIndexOf(it.request.Rank), q.organisationIndex(it.request.Organisation))
	}
	for _, it := range moved {
		q.pushItem(it, false)
	}
}

func (q *Queue) setRanks(ranks []Rank) {
	if len(ranks) == 0 {
		ranks = []Rank{{Name: "default"}}
	}
	q.Ranks = ranks
	q.rankIndexes = make(map[string]int, len(ranks))
	for i, r := range ranks {
		q.rankIndexes[r.Name] = i
	}
}

// setRanks keeps the state of ranks that exist in both configurations.
func (p *pool) setRanks(q *Queue, old []Rank) {
	ranks := make([]rankQueue, len(q.Ranks))
	for i, r := range old {
		j, ok := q.rankIndexes[r.Name]
		if !ok {
			continue
		}
		ranks[j] = p.ranks[i]
		for _, f := range ranks[j].flows {
			if f != nil {
				f.rank = j
			}
		}
	}
	p.ranks = ranks
}

func (q *Queue) setOrganisations(organisations []Organisation) {
	q.Organisations = organisations
	for _, org := range q.orgs {
		org.Organisation = withDefaults(Organisation{Name: org.Name})
		org.queuedByRank = make([]int, len(q.Ranks))
		org.rateLimit.perSecond = 0
	}
	for _, o := range organisations {
		org := q.orgs[q.organisationIndex(o.Name)]
		org.Organisation = withDefaults(o)
		org.rateLimit.perSecond = o.RequestsPerSecond
	}
}
