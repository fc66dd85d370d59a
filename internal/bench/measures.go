package bench

// unsortedMeasures returns all measures. A variable would be an initialisation cycle, since
// the measure "budget" runs other measures.
func unsortedMeasures() []Measure {
	return []Measure{
		{Name: "admission", Short: "ranks, floors and fair shares under floods", Run: runAdmission},
		{Name: "budget", Short: "sum of the bytes of control at the design size", Run: measureBudget},
		{Name: "control", Short: "processor time of the control goroutine against the size of the fleet", Run: measureControl},
		{Name: "gossip", Short: "bytes between daemons against their number", Run: measureGossip},
		{Name: "holder", Short: "state of a ledger holder against the keys it keeps", Run: measureHolder},
		{Name: "keyvalue", Short: "calls to the key-value service against the number of daemons", Run: measureKeyValue},
		{Name: "ledger", Short: "claims per order against shards with group commit", Run: measureLedger},
		{Name: "lists", Short: "bytes of the instance list and the engine polls", Run: measureLists},
		{Name: "memory", Short: "memory of the control state against the size of the fleet", Run: measureMemory},
		{Name: "overhead", Short: "a daemon against a direct connection, over loopback", Run: measureOverhead},
		placementMeasure,
		{Name: "routing", Short: "prefix cache use and first token against true sight, least load and random", Run: measureRouting},
		{Name: "spread", Short: "spread of a new configuration over the daemons", Run: measureSpread},
		{Name: "takeover", Short: "takeover by indexes against reading the whole shard", Run: measureTakeover},
		{Name: "usage", Short: "bytes and age of the sums of usage against the number of daemons", Run: measureUsage},
	}
}
