package bench

// measures lists every measure.
var measures = []Measure{
	{Name: "routing", Short: "prefix cache use and first token against true sight, least load and random", Run: measureRouting},
}
