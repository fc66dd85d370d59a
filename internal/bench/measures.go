package bench

// measures lists every measure.
var measures = []Measure{
	{"ledger", "claims per order against shards with group commit", measureLedger},
	{"takeover", "takeover by indexes against reading the whole shard", measureTakeover},
}
