package operator_test

import (
	"strings"
	"testing"
	"time"

	"apricotbridge/pkg/config"
	"apricotbridge/pkg/operator"
)

// TestPrintIsStable guards against output that depends on the order of the
// calls, and against printing an invalid configuration.
func TestPrintIsStable(t *testing.T) {
	rank := config.Rank{Name: "order", FirstToken: span(time.Second), Deadline: span(time.Minute)}
	class := config.Class{Name: "small", Slots: 1, TokensPerSecond: 1}
	organisation := func(name string) config.Organisation {
		return config.Organisation{Name: name, Weight: 1, TokenHashes: []string{operator.TokenHash(name)}}
	}
	service := func(name string) config.Service {
		return config.Service{Name: name, Kind: config.ServiceKindPlain, DefaultRank: "order", Repeat: config.ServiceRepeatByKey}
	}
	var first, second, broken strings.Builder
	err := operator.New("d").Region("saare", config.Place{Name: "a"}).Region("harju", config.Place{Name: "b"}).Class(class).Rank(rank).
		Service(service("x"), "Two\nlines.").Service(service("y")).Organisation(organisation("o")).Organisation(organisation("p")).Print(&first)
	if err != nil {
		t.Fatal(err)
	}
	err = operator.New("d").Organisation(organisation("p")).Organisation(organisation("o")).Service(service("y")).Service(service("x"), "Two\nlines.").
		Rank(rank).Class(class).Region("harju", config.Place{Name: "b"}).Region("saare", config.Place{Name: "a"}).Print(&second)
	if err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() {
		t.Errorf("order of calls changes the text:\n%s\n%s", &first, &second)
	}
	err = operator.New("d").Region("saare", config.Place{Name: "a"}).Class(class).Rank(rank).Service(config.Service{
		Name: "x", Kind: config.ServiceKindPlain, DefaultRank: "urgent", Repeat: config.ServiceRepeatByKey,
	}).Organisation(organisation("o")).Print(&broken)
	if err == nil || !strings.Contains(err.Error(), `rank "urgent" does not exist`) || broken.Len() > 0 {
		t.Errorf("a dangling rank gives error %v and %d bytes", err, broken.Len())
	}
}
