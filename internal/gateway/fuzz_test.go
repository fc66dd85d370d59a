package gateway

import (
	"testing"
	"time"

	"apricotbridge/internal/message"
)

// FuzzRows checks that no rows of a peer yield a time in the future, which would hide all
// later rows.
func FuzzRows(f *testing.F) {
	for _, age := range []int64{0, -1, 1 << 62, -1 << 63} {
		data, err := message.Encode(message.KindRows, message.Rows{
			Organisations: []string{"one"},
			Rows:          []message.DaemonRow{{Daemon: "d", Place: "a", Age: age, Used: []int64{1, 2}}},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := message.DecodeEnvelope(data)
		if err != nil {
			return
		}
		m, err := message.Decode[message.Rows](e)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		for _, r := range decodeRows(now, m) {
			if r.at.After(now) || now.Sub(r.at) > maxRowAge {
				t.Errorf("row at %v, now %v", r.at, now)
			}
		}
		for _, l := range m.Loads {
			decodeLoads(&l.Loads)
		}
	})
}
