// Package operator builds a configuration in Go and prints it as the JSON with
// comments that the apply command takes. The same calls print the same text, so
// that a printed configuration can be kept under version control.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"apricotbridge/internal/document"
	"apricotbridge/pkg/config"
)

// Builder collects the parts of a configuration. Its methods take the parts in
// any order; only the order of ranks has a meaning.
type Builder struct {
	c config.Configuration
	// comments are by list and name, and by the name of a member for the
	// configuration itself.
	comments map[[2]string]string
}

// New returns a builder of a deployment. The comment is printed at the top.
func New(name string, comment ...string) *Builder {
	b := &Builder{comments: map[[2]string]string{}}
	b.c.Name = name
	b.note("", "", comment)
	b.note("Links", "", []string{"Traffic between regions is billed by volume."})
	b.note("Ranks", "", []string{"The most urgent first."})
	b.note("Organisations", "", []string{"TokenHashes are SHA-256 hashes of bearer tokens."})
	return b
}

func (b *Builder) note(list, name string, comment []string) {
	if len(comment) > 0 {
		b.comments[[2]string{list, name}] = strings.Join(comment, "\n")
	}
}

// Region adds a region with its places, whose Region is set.
func (b *Builder) Region(name string, places ...config.Place) *Builder {
	b.c.Regions = append(b.c.Regions, config.Region{Name: name})
	for _, p := range places {
		p.Region = name
		b.c.Places = append(b.c.Places, p)
	}
	return b
}

// Link adds a link between two regions.
func (b *Builder) Link(l config.Link) *Builder {
	b.c.Links = append(b.c.Links, l)
	return b
}

// Class adds a machine class.
func (b *Builder) Class(c config.Class, comment ...string) *Builder {
	b.c.Classes = append(b.c.Classes, c)
	b.note("Classes", c.Name, comment)
	return b
}

// Rank adds a rank, which is less urgent than those added before.
func (b *Builder) Rank(r config.Rank, comment ...string) *Builder {
	b.c.Ranks = append(b.c.Ranks, r)
	b.note("Ranks", r.Name, comment)
	return b
}

// Service adds a service.
func (b *Builder) Service(s config.Service, comment ...string) *Builder {
	b.c.Services = append(b.c.Services, s)
	b.note("Services", s.Name, comment)
	return b
}

// Organisation adds an organisation. TokenHash makes the hashes of its tokens.
func (b *Builder) Organisation(o config.Organisation, comment ...string) *Builder {
	b.c.Organisations = append(b.c.Organisations, o)
	b.note("Organisations", o.Name, comment)
	return b
}

// Ledger sets the rules for the record of orders and durable drafts.
func (b *Builder) Ledger(l config.Ledger, comment ...string) *Builder {
	b.c.Ledger = &l
	b.note("Ledger", "", comment)
	return b
}

// Quarantine sets the rules for requests that crash backend servers.
func (b *Builder) Quarantine(q config.Quarantine, comment ...string) *Builder {
	b.c.Quarantine = &q
	b.note("Quarantine", "", comment)
	return b
}

// TokenHash returns the hash of a bearer token. The token itself stays out of the
// configuration.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Span returns a time span for an optional field.
func Span(d time.Duration) *config.Duration {
	span := config.Duration(d)
	return &span
}

// Print checks the configuration and writes it. The lists are sorted by name,
// except ranks. The error of a configuration with faults lists them all, and
// nothing is written.
func (b *Builder) Print(w io.Writer) error {
	text, err := b.text()
	if err != nil {
		return err
	}
	if _, faults := config.Check("built", text); len(faults) > 0 {
		return errors.Trace(document.Error(faults))
	}
	_, err = w.Write(text)
	return errors.Annotate(err, "print configuration")
}

// sorted returns a copy of a list in the order of its names.
func sorted[T any](list []T, name func(T) string) []T {
	list = append([]T{}, list...)
	sort.SliceStable(list, func(i, j int) bool { return name(list[i]) < name(list[j]) })
	return list
}

func (b *Builder) text() ([]byte, error) {
	c := b.c
	c.Regions = sorted(c.Regions, func(r config.Region) string { return r.Name })
	c.Links = sorted(c.Links, func(l config.Link) string { return l.From + "\x00" + l.To })
	c.Places = sorted(c.Places, func(p config.Place) string { return p.Name })
	c.Classes = sorted(c.Classes, func(c config.Class) string { return c.Name })
	c.Services = sorted(c.Services, func(s config.Service) string { return s.Name })
	c.Organisations = sorted(c.Organisations, func(o config.Organisation) string { return o.Name })
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Annotate(err, "encode configuration")
	}
	v, err := hujson.Parse(plain)
	if err != nil {
		return nil, errors.Annotate(err, "parse encoded configuration")
	}
	order(&v, []string{"Name", "Regions", "Links", "Places", "Classes", "Ranks", "Services", "Organisations", "Ledger", "Quarantine"})
	b.annotate(&v)
	v.Format()
	return v.Pack(), nil
}

// annotate adds the comments and puts what identifies an item first.
func (b *Builder) annotate(root *hujson.Value) {
	root.BeforeExtra = comment(b.comments[[2]string{}])
	members := root.Value.(*hujson.Object).Members
	for i := range members {
		list := name(&members[i])
		members[i].Name.BeforeExtra = append(hujson.Extra("\n"), comment(b.comments[[2]string{list, ""}])...)
		items, ok := members[i].Value.Value.(*hujson.Array)
		if !ok {
			continue
		}
		for j := range items.Elements {
			item := &items.Elements[j]
			order(item, []string{"Name", "Region", "Kind", "From", "To"})
			fields := item.Value.(*hujson.Object).Members
			id := ""
			if len(fields) > 0 && name(&fields[0]) == "Name" {
				id = fields[0].Value.Value.(hujson.Literal).String()
			}
			item.BeforeExtra = append(hujson.Extra("\n"), comment(b.comments[[2]string{list, id}])...)
			if id == "" { // The comment of the list stands before the list.
				item.BeforeExtra = hujson.Extra("\n")
			}
		}
		items.AfterExtra = hujson.Extra("\n")
	}
	root.Value.(*hujson.Object).AfterExtra = hujson.Extra("\n")
}

func name(m *hujson.ObjectMember) string { return m.Name.Value.(hujson.Literal).String() }

// order moves the named members of an object to its front, in that order.
func order(v *hujson.Value, first []string) {
	rank := func(m *hujson.ObjectMember) int {
		for i, f := range first {
			if name(m) == f {
				return i
			}
		}
		return len(first)
	}
	members := v.Value.(*hujson.Object).Members
	sort.SliceStable(members, func(i, j int) bool { return rank(&members[i]) < rank(&members[j]) })
}

func comment(text string) hujson.Extra {
	if text == "" {
		return nil
	}
	return hujson.Extra("// " + strings.ReplaceAll(text, "\n", "\n// ") + "\n")
}
