package origin

import (
	"fmt"
	"testing"
)

// TestOnlyVersion guards against concluding the version of an unknown stream from less than one recorded version.
func TestOnlyVersion(t *testing.T) {
	for _, c := range []struct {
		recorded, seen []string
		want           string
		ok             bool
	}{
		{nil, nil, "", false},
		{nil, []string{"v1"}, "", false},
		{[]string{"v1"}, nil, "v1", true},
		{[]string{"v1"}, []string{"v1"}, "v1", true},
		{[]string{"v1"}, []string{"v2"}, "", false},
		{[]string{"v1"}, []string{"v1", "v2"}, "", false},
		{[]string{"v1", "v2"}, []string{"v1"}, "", false},
		{[]string{""}, []string{""}, "", true},
	} {
		t.Run(fmt.Sprintf("%q %q", c.recorded, c.seen), func(t *testing.T) {
			if got, ok := OnlyVersion(Record{Versions: c.recorded}, c.seen); got != c.want || ok != c.ok {
				t.Errorf("%q, %v; want %q, %v", got, ok, c.want, c.ok)
			}
		})
	}
}

// TestOlderRecordIsNotNoted guards against streams at a version that was removed from the record since.
func TestOlderRecordIsNotNoted(t *testing.T) {
	var r Records
	for _, c := range []struct {
		record Record
		newer  bool
		hasV2  bool
	}{
		{Record{1, 5, []string{"v1"}}, true, false},
		{Record{1, 7, []string{"v1", "v2"}}, true, true},
		{Record{1, 7, []string{"v1", "v2"}}, false, true},
		{Record{1, 6, []string{"v1"}}, false, true},
		{Record{1, 9, []string{"v1"}}, true, false},
		{Record{2, 3, []string{"v1", "v2"}}, true, true}, // The store came back from a copy.
		{Record{1, 10, []string{"v1"}}, false, true},
	} {
		if got := r.Note("model", c.record); got != c.newer || r.Has("model", "v2") != c.hasV2 {
			t.Errorf("%+v: newer %v, has v2: %v", c.record, got, r.Has("model", "v2"))
		}
	}
}

// TestReturningVersionIsRecordedAnew guards against streams at a version that was removed from the record while it had no server.
func TestReturningVersionIsRecordedAnew(t *testing.T) {
	var r Records
	both := []string{"v1", "v2"}
	r.Note("model", Record{1, 5, both})
	r.NoteServers("model", both)
	if !r.Has("model", "v2") {
		t.Error("a version with servers is not recorded")
	}
	r.NoteServers("model", []string{"v1"})
	r.NoteServers("model", both)
	if r.Has("model", "v2") || !r.Has("model", "v1") {
		t.Error("the version that returned is recorded by a record from before")
	}
	r.Note("model", Record{1, 6, both})
	if !r.Has("model", "v2") {
		t.Error("the version that returned is not recorded by a later record")
	}
}
