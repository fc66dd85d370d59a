package admission

// Configure puts a new configuration in force. Waiting requests keep their
// order; those of a rank that no longer exists join the least urgent one.
func (q *Queue) Configure(ranks []Rank, organisations []Organisation) {
	q.init()
	var moved []*item
	for _, p := range q.pools {
		for r := range p.ranks {
			for _, f := range p.ranks[r].flows {
				for f != nil && f.head != nil {
					it := f.head
					q.unlink(it)
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
		it.flow = it.pool.flow(q, q.rank(it.req.Rank), q.organisation(it.req.Organisation))
	}
	for _, it := range moved {
		q.push(it, false)
	}
}

func (q *Queue) setRanks(ranks []Rank) {
	if len(ranks) == 0 {
		ranks = []Rank{{Name: "default"}}
	}
	q.Ranks = ranks
	q.rankOf = make(map[string]int, len(ranks))
	for i, r := range ranks {
		q.rankOf[r.Name] = i
	}
}

// setRanks keeps the state of the ranks that stay.
func (p *pool) setRanks(q *Queue, old []Rank) {
	ranks := make([]rankQueue, len(q.Ranks))
	for i, r := range old {
		j, ok := q.rankOf[r.Name]
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
		org.byRank = make([]int, len(q.Ranks))
		org.limit.perSecond = 0
	}
	for _, o := range organisations {
		org := q.orgs[q.organisation(o.Name)]
		org.Organisation = withDefaults(o)
		org.limit.perSecond = o.RequestsPerSecond
	}
}
