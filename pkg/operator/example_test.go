package operator_test

import (
	"fmt"
	"os"
	"time"

	"apricotbridge/pkg/config"
	"apricotbridge/pkg/operator"
)

func span(d time.Duration) config.Duration { return config.Duration(d) }

// The rank for drafts has a long deadline and a larger floor, because drafts
// are not urgent.
func ExampleBuilder_saaremaa() {
	b := operator.New("Lavender Line Sachet Ordering and Drafting", "Saaremaa Lõhnakotid AS.")
	b.Region("saare", config.Place{Name: "kuressaare", MaxPrice: 4, OnDemand: true}, config.Place{Name: "orissaare", MaxPrice: 3})
	b.Region("harju", config.Place{Name: "ulemiste", MaxPrice: 3})
	b.Link(config.Link{From: "saare", To: "harju", Delay: span(12 * time.Millisecond), BytesPerSecond: 3_750_000, PricePerGigabyte: 0.08})
	b.Class(config.Class{Name: "accelerator-8", Accelerators: 8, Slots: 32, TokensPerSecond: 2800, PrefillTokensPerSecond: 20000, CacheTokens: 400000})
	b.Class(config.Class{Name: "small", Slots: 16, TokensPerSecond: 1}, "Runs the order service, which generates no tokens.")
	b.Rank(config.Rank{Name: "order", FirstToken: span(1900 * time.Millisecond), BetweenTokens: operator.Span(29 * time.Millisecond), Deadline: span(5 * time.Second), Worth: 1, Floor: 0.1})
	b.Rank(config.Rank{Name: "reply", FirstToken: span(3 * time.Second), BetweenTokens: operator.Span(60 * time.Millisecond), Deadline: span(20 * time.Second), Worth: 0.2, Floor: 0.1})
	b.Rank(config.Rank{Name: "draft", FirstToken: span(2 * time.Minute), Deadline: span(2 * time.Hour), Worth: 0.02, Floor: 0.2}, "Drafts may wait but must arrive.")
	b.Service(config.Service{Name: "kirjutaja", Kind: config.ServiceKindModel, Models: []string{"kirjutaja-dossier"}, DefaultRank: "draft", Repeat: config.ServiceRepeatAlways, Instances: 20})
	b.Service(config.Service{
		Name: "tellimus", Kind: config.ServiceKindPlain, DefaultRank: "order", Repeat: config.ServiceRepeatNever,
		LookupPath: "/orders/{Key}", Instances: 3, Timeout: operator.Span(10 * time.Second),
	}, "An order runs at most once.")
	for _, o := range []struct {
		name   string
		weight float64
	}{{"filling-hall", 3}, {"wholesale", 3}, {"label-office", 1}, {"customer-care", 2}, {"export", 1}} {
		b.Organisation(config.Organisation{Name: o.name, Weight: o.weight, TokenHashes: []string{operator.TokenHash(o.name + "-token")}})
	}
	b.Ledger(config.Ledger{Shards: 16, Retention: operator.Span(24 * time.Hour)})
	if err := b.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// // Saaremaa Lõhnakotid AS.
	// {
	// 	"Name": "Lavender Line Sachet Ordering and Drafting",
	// 	"Regions": [
	// 		{"Name": "harju"},
	// 		{"Name": "saare"},
	// 	],
	// 	// Traffic between regions is billed by volume.
	// 	"Links": [
	// 		{
	// 			"From":             "saare",
	// 			"To":               "harju",
	// 			"BytesPerSecond":   3750000,
	// 			"Delay":            "12ms",
	// 			"PricePerGigabyte": 0.08,
	// 		},
	// 	],
	// 	"Places": [
	// 		{"Name": "kuressaare", "Region": "saare", "MaxPrice": 4, "OnDemand": true},
	// 		{"Name": "orissaare", "Region": "saare", "MaxPrice": 3},
	// 		{"Name": "ulemiste", "Region": "harju", "MaxPrice": 3},
	// 	],
	// 	"Classes": [
	// 		{
	// 			"Name":                   "accelerator-8",
	// 			"Accelerators":           8,
	// 			"CacheTokens":            400000,
	// 			"PrefillTokensPerSecond": 20000,
	// 			"Slots":                  32,
	// 			"TokensPerSecond":        2800,
	// 		},
	// 		// Runs the order service, which generates no tokens.
	// 		{"Name": "small", "Slots": 16, "TokensPerSecond": 1},
	// 	],
	// 	// The most urgent first.
	// 	"Ranks": [
	// 		{
	// 			"Name":          "order",
	// 			"BetweenTokens": "29ms",
	// 			"Deadline":      "5s",
	// 			"FirstToken":    "1900ms",
	// 			"Floor":         0.1,
	// 			"Worth":         1,
	// 		},
	// 		{
	// 			"Name":          "reply",
	// 			"BetweenTokens": "60ms",
	// 			"Deadline":      "20s",
	// 			"FirstToken":    "3s",
	// 			"Floor":         0.1,
	// 			"Worth":         0.2,
	// 		},
	// 		// Drafts may wait but must arrive.
	// 		{
	// 			"Name":       "draft",
	// 			"Deadline":   "2h",
	// 			"FirstToken": "2m",
	// 			"Floor":      0.2,
	// 			"Worth":      0.02,
	// 		},
	// 	],
	// 	"Services": [
	// 		{
	// 			"Name":        "kirjutaja",
	// 			"Kind":        "Model",
	// 			"DefaultRank": "draft",
	// 			"Instances":   20,
	// 			"Models":      ["kirjutaja-dossier"],
	// 			"Repeat":      "Always",
	// 		},
	// 		// An order runs at most once.
	// 		{
	// 			"Name":        "tellimus",
	// 			"Kind":        "Plain",
	// 			"DefaultRank": "order",
	// 			"Instances":   3,
	// 			"LookupPath":  "/orders/{Key}",
	// 			"Repeat":      "Never",
	// 			"Timeout":     "10s",
	// 		},
	// 	],
	// 	// TokenHashes are SHA-256 hashes of bearer tokens.
	// 	"Organisations": [
	// 		{
	// 			"Name":        "customer-care",
	// 			"TokenHashes": ["10cc150960ef395de8f756216e1c02837df4c9d50400ac73b6c5fe34f394bc8c"],
	// 			"Weight":      2,
	// 		},
	// 		{
	// 			"Name":        "export",
	// 			"TokenHashes": ["2196a7d9eb53abd5b98e9bea01c32bd40fbc14f3ed65a3d8ad7f456eb72ae05d"],
	// 			"Weight":      1,
	// 		},
	// 		{
	// 			"Name":        "filling-hall",
	// 			"TokenHashes": ["ca27efbf86bc7aaba06d71f2d86dbee77260d434b218c17f82aab8449f765250"],
	// 			"Weight":      3,
	// 		},
	// 		{
	// 			"Name":        "label-office",
	// 			"TokenHashes": ["69d323c4539bd8447e042a13cabc92edfd1767ea6daad54826808e632c7b73ac"],
	// 			"Weight":      1,
	// 		},
	// 		{
	// 			"Name":        "wholesale",
	// 			"TokenHashes": ["89dfe3f9883cc414ab3c559660838d09869d552ec8c25856afcb673075da32f4"],
	// 			"Weight":      3,
	// 		},
	// 	],
	// 	"Ledger": {"Retention": "24h", "Shards": 16},
	// }
}

// Orders must run in time and only once. Replies to hotels and trekkers are
// more urgent than batch drafts, which have the lowest worth.
func ExampleBuilder_shrestha() {
	b := operator.New("Shrestha Sukuti Order Routing Service Annex", "Shrestha Sukuti Traders.")
	b.Region("bagmati", config.Place{Name: "asan", MaxPrice: 4, OnDemand: true}, config.Place{Name: "bhaktapur", MaxPrice: 4})
	b.Region("gandaki", config.Place{Name: "lakeside", MaxPrice: 4})
	b.Link(config.Link{From: "bagmati", To: "gandaki", Delay: span(12 * time.Millisecond), BytesPerSecond: 3_750_000, PricePerGigabyte: 0.09})
	b.Class(config.Class{Name: "accelerator-8", Accelerators: 8, Slots: 32, TokensPerSecond: 2800, PrefillTokensPerSecond: 20000, CacheTokens: 400000})
	b.Class(config.Class{Name: "small", Slots: 16, TokensPerSecond: 1})
	b.Rank(config.Rank{Name: "order", FirstToken: span(1900 * time.Millisecond), BetweenTokens: operator.Span(29 * time.Millisecond), Deadline: span(5 * time.Second), Worth: 1, Floor: 0.1})
	b.Rank(config.Rank{Name: "reply", FirstToken: span(4 * time.Second), BetweenTokens: operator.Span(60 * time.Millisecond), Deadline: span(20 * time.Second), Worth: 0.2, Floor: 0.1})
	b.Rank(config.Rank{Name: "draft", FirstToken: span(time.Minute), Deadline: span(time.Hour), Worth: 0.01, Floor: 0.1})
	b.Service(config.Service{Name: "sahayak-llm", Kind: config.ServiceKindModel, Models: []string{"sahayak-small"}, DefaultRank: "reply", Repeat: config.ServiceRepeatAlways, ChecksFencing: true, Instances: 20})
	b.Service(config.Service{
		Name: "khata-app", Kind: config.ServiceKindPlain, DefaultRank: "order", Repeat: config.ServiceRepeatNever,
		LookupPath: "/orders/{Key}", Instances: 3, Timeout: operator.Span(10 * time.Second),
	}, "An order or payment runs at most once; LookupPath returns the outcome of a key.")
	for _, o := range []struct {
		name   string
		weight float64
	}{{"summit-hotels", 4}, {"trek-agency", 4}, {"lodge-union", 1}, {"village-shops", 1}, {"counter", 1}} {
		b.Organisation(config.Organisation{Name: o.name, Weight: o.weight, TokenHashes: []string{operator.TokenHash(o.name + "-token")}})
	}
	b.Ledger(config.Ledger{Shards: 16, Retention: operator.Span(24 * time.Hour)})
	b.Quarantine(config.Quarantine{Crashes: 2, Expiry: operator.Span(time.Hour)})
	if err := b.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// // Shrestha Sukuti Traders.
	// {
	// 	"Name": "Shrestha Sukuti Order Routing Service Annex",
	// 	"Regions": [
	// 		{"Name": "bagmati"},
	// 		{"Name": "gandaki"},
	// 	],
	// 	// Traffic between regions is billed by volume.
	// 	"Links": [
	// 		{
	// 			"From":             "bagmati",
	// 			"To":               "gandaki",
	// 			"BytesPerSecond":   3750000,
	// 			"Delay":            "12ms",
	// 			"PricePerGigabyte": 0.09,
	// 		},
	// 	],
	// 	"Places": [
	// 		{"Name": "asan", "Region": "bagmati", "MaxPrice": 4, "OnDemand": true},
	// 		{"Name": "bhaktapur", "Region": "bagmati", "MaxPrice": 4},
	// 		{"Name": "lakeside", "Region": "gandaki", "MaxPrice": 4},
	// 	],
	// 	"Classes": [
	// 		{
	// 			"Name":                   "accelerator-8",
	// 			"Accelerators":           8,
	// 			"CacheTokens":            400000,
	// 			"PrefillTokensPerSecond": 20000,
	// 			"Slots":                  32,
	// 			"TokensPerSecond":        2800,
	// 		},
	// 		{"Name": "small", "Slots": 16, "TokensPerSecond": 1},
	// 	],
	// 	// The most urgent first.
	// 	"Ranks": [
	// 		{
	// 			"Name":          "order",
	// 			"BetweenTokens": "29ms",
	// 			"Deadline":      "5s",
	// 			"FirstToken":    "1900ms",
	// 			"Floor":         0.1,
	// 			"Worth":         1,
	// 		},
	// 		{
	// 			"Name":          "reply",
	// 			"BetweenTokens": "60ms",
	// 			"Deadline":      "20s",
	// 			"FirstToken":    "4s",
	// 			"Floor":         0.1,
	// 			"Worth":         0.2,
	// 		},
	// 		{
	// 			"Name":       "draft",
	// 			"Deadline":   "1h",
	// 			"FirstToken": "1m",
	// 			"Floor":      0.1,
	// 			"Worth":      0.01,
	// 		},
	// 	],
	// 	"Services": [
	// 		// An order or payment runs at most once; LookupPath returns the outcome of a key.
	// 		{
	// 			"Name":        "khata-app",
	// 			"Kind":        "Plain",
	// 			"DefaultRank": "order",
	// 			"Instances":   3,
	// 			"LookupPath":  "/orders/{Key}",
	// 			"Repeat":      "Never",
	// 			"Timeout":     "10s",
	// 		},
	// 		{
	// 			"Name":          "sahayak-llm",
	// 			"Kind":          "Model",
	// 			"ChecksFencing": true,
	// 			"DefaultRank":   "reply",
	// 			"Instances":     20,
	// 			"Models":        ["sahayak-small"],
	// 			"Repeat":        "Always",
	// 		},
	// 	],
	// 	// TokenHashes are SHA-256 hashes of bearer tokens.
	// 	"Organisations": [
	// 		{
	// 			"Name":        "counter",
	// 			"TokenHashes": ["6dfb570d416743d532b672c1a0b0a20739db96e3db59eab4e75c318d5b8d9fd7"],
	// 			"Weight":      1,
	// 		},
	// 		{
	// 			"Name":        "lodge-union",
	// 			"TokenHashes": ["afec4c4dabb18e6b6d8c1310ec1097ba46a6ea33185a6d97cffe2ae2505a0807"],
	// 			"Weight":      1,
	// 		},
	// 		{
	// 			"Name":        "summit-hotels",
	// 			"TokenHashes": ["2e0bf58269f5617b3b9765dd944ac0b7f2bdf9280281e30135e3198af43e0759"],
	// 			"Weight":      4,
	// 		},
	// 		{
	// 			"Name":        "trek-agency",
	// 			"TokenHashes": ["56ade805f06f7092c22c1714196a7a7115688e2e42eee4726f8cc1f6ed677467"],
	// 			"Weight":      4,
	// 		},
	// 		{
	// 			"Name":        "village-shops",
	// 			"TokenHashes": ["bb3ff0c65121bbb38031e541bf699af55b0779573cc135655e5074709668568a"],
	// 			"Weight":      1,
	// 		},
	// 	],
	// 	"Ledger":     {"Retention": "24h", "Shards": 16},
	// 	"Quarantine": {"Crashes": 2, "Expiry": "1h"},
	// }
}
