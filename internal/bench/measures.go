package bench

// measures lists every measure.
var measures = []Measure{
	{Name: "admission", Short: "ranks, floors and fair shares under floods", Run: runAdmission},
	{Name: "ledger", Short: "claims per order against shards with group commit", Run: measureLedger},
	{Name: "takeover", Short: "takeover by indexes against reading the whole shard", Run: measureTakeover},
	placementMeasure,
	{Name: "routing", Short: "prefix cache use and first token against true sight, least load and random", Run: measureRouting},
}
