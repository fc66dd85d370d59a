package bench

// measures lists every measure.
var measures = []Measure{
	{Name: "admission", Short: "ranks, floors and fair shares under floods", Run: runAdmission},
}
