package bench

// measures lists every measure.
var measures = []Measure{
	placementMeasure,
}
