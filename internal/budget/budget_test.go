package budget

import (
	"errors"
	"testing"
)

func TestLargestHolderIsGivenUp(t *testing.T) {
	tests := map[string]struct {
		held    []int64
		settled []bool
		// gone is the holder that is given up when the last one is set.
		gone int
	}{
		"within the limit":                     {[]int64{40, 60}, []bool{false, false}, -1},
		"largest of those that arrive":         {[]int64{10, 50, 45}, []bool{false, false, false}, 1},
		"the one that asks":                    {[]int64{10, 20, 90}, []bool{false, false, false}, 2},
		"arriving before settled":              {[]int64{60, 30, 20}, []bool{true, false, false}, 1},
		"settled before one that is far below": {[]int64{96, 5}, []bool{true, false}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var b Budget
			gone := -1
			for i, n := range tc.held {
				h := &Holder{GiveUp: func() { gone = i }}
				b.Settle(h, tc.settled[i])
				if err := b.Set(h, n, 100); (i == gone) != errors.Is(err, ErrGivenUp) {
					t.Errorf("holder %d: %v, given up: %d", i, err, gone)
				}
			}
			if gone != tc.gone {
				t.Errorf("holder %d was given up, want %d", gone, tc.gone)
			}
			if u := b.Usage(); u.Held > 100 || u.Most > 100 {
				t.Errorf("usage %+v over the limit of 100", u)
			}
		})
	}
}
