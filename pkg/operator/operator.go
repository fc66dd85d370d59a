// Package operator builds a configuration in Go and prints it as JSON with
// comments, as the apply command takes it. The output is deterministic, so that
// a printed configuration can be kept under version control.
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

// Builder collects the parts of a configuration. Its methods may be called in
// any order; only the order of ranks matters.
type Builder struct {
	c config.Configuration
	// comments has the comments of list items by the names of the list and the
	// item. A comment on a whole member has an empty item name; the comment on the
	// configuration has both names empty.
	comments map[[2]string]string
}

// New returns a builder for a deployment. The comment is printed at the top.
func New(name string, comment ...string) *Builder {
	b := &Builder{comments: map[[2]string]string{}}
	b.c.Name = name
	b.setComment("", "", comment)
	b.setComment("Links", "", []string{"Traffic between regions is billed by volume."})
	b.setComment("Ranks", "", []string{"The most urgent first."})
	b.setComment("Organisations", "", []string{"TokenHashes are SHA-256 hashes of bearer tokens."})
	return b
}

func (b *Builder) setComment(list, name string, comment []string) {
	if len(comment) > 0 {
		b.comments[[2]string{list, name}] = strings.Join(comment, "\n")
	}
}

// Region adds a region and its places, and sets their Region field.
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
	b.setComment("Classes", c.Name, comment)
	return b
}

// Rank adds a rank that is less urgent than the ranks added before.
func (b *Builder) Rank(r config.Rank, comment ...string) *Builder {
	b.c.Ranks = append(b.c.Ranks, r)
	b.setComment("Ranks", r.Name, comment)
	return b
}

// Service adds a service.
func (b *Builder) Service(s config.Service, comment ...string) *Builder {
	b.c.Services = append(b.c.Services, s)
	b.setComment("Services", s.Name, comment)
	return b
}

// Organisation adds an organisation. TokenHash computes the hashes of its
// tokens.
func (b *Builder) Organisation(o config.Organisation, comment ...string) *Builder {
	b.c.Organisations = append(b.c.Organisations, o)
	b.setComment("Organisations", o.Name, comment)
	return b
}

// Ledger sets the settings of the ledger, which records orders and durable
// drafts.
func (b *Builder) Ledger(l config.Ledger, comment ...string) *Builder {
	b.c.Ledger = &l
	b.setComment("Ledger", "", comment)
	return b
}

// Quarantine sets the limits for requests that crash backend servers.
func (b *Builder) Quarantine(q config.Quarantine, comment ...string) *Builder {
	b.c.Quarantine = &q
	b.setComment("Quarantine", "", comment)
	return b
}

// TokenHash returns the SHA-256 hash of a bearer token in hexadecimal, because
// a configuration must not contain the token itself.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Span returns a duration for an optional field.
func Span(d time.Duration) *config.Duration {
	span := config.Duration(d)
	return &span
}

// Print checks the configuration and writes it. All lists except ranks are
// sorted by name. If the configuration has faults, the error lists all of them
// and nothing is written.
func (b *Builder) Print(w io.Writer) error {
	text, err := b.render()
	if err != nil {
		return err
	}
	if _, faults := config.Check("built", text); len(faults) > 0 {
		return errors.Trace(document.Error(faults))
	}
	_, err = w.Write(text)
	return errors.Annotate(err, "print configuration")
}

// sortedByName returns a copy of a list, sorted by name.
func sortedByName[T any](list []T, name func(T) string) []T {
	list = append([]T{}, list...)
	sort.SliceStable(list, func(i, j int) bool { return name(list[i]) < name(list[j]) })
	return list
}

func (b *Builder) render() ([]byte, error) {
	c := b.c
	c.Regions = sortedByName(c.Regions, func(r config.Region) string { return r.Name })
	c.Links = sortedByName(c.Links, func(l config.Link) string { return l.From + "\x00" + l.To })
	c.Places = sortedByName(c.Places, func(p config.Place) string { return p.Name })
	c.Classes = sortedByName(c.Classes, func(c config.Class) string { return c.Name })
	c.Services = sortedByName(c.Services, func(s config.Service) string { return s.Name })
	c.Organisations = sortedByName(c.Organisations, func(o config.Organisation) string { return o.Name })
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Annotate(err, "encode configuration")
	}
	v, err := hujson.Parse(plain)
	if err != nil {
		return nil, errors.Annotate(err, "parse encoded configuration")
	}
	moveToFront(&v, []string{"Name", "Regions", "Links", "Places", "Classes", "Ranks", "Services", "Organisations", "Ledger", "Quarantine"})
	b.annotate(&v)
	v.Format()
	return v.Pack(), nil
}

// annotate adds the comments and moves the identifying fields of each item to
// its front.
func (b *Builder) annotate(root *hujson.Value) {
	root.BeforeExtra = commentLines(b.comments[[2]string{}])
	members := root.Value.(*hujson.Object).Members
	for i := range members {
		list := memberName(&members[i])
		members[i].Name.BeforeExtra = append(hujson.Extra("\n"), commentLines(b.comments[[2]string{list, ""}])...)
		items, ok := members[i].Value.Value.(*hujson.Array)
		if !ok {
			continue
		}
		for j := range items.Elements {
			item := &items.Elements[j]
			moveToFront(item, []string{"Name", "Region", "Kind", "From", "To"})
			fields := item.Value.(*hujson.Object).Members
			id := ""
			if len(fields) > 0 && memberName(&fields[0]) == "Name" {
				id = fields[0].Value.Value.(hujson.Literal).String()
			}
			item.BeforeExtra = append(hujson.Extra("\n"), commentLines(b.comments[[2]string{list, id}])...)
			if id == "" { // An empty name is the key of the list's own comment, printed before the list.
				item.BeforeExtra = hujson.Extra("\n")
			}
		}
		items.AfterExtra = hujson.Extra("\n")
	}
	root.Value.(*hujson.Object).AfterExtra = hujson.Extra("\n")
}

func memberName(m *hujson.ObjectMember) string { return m.Name.Value.(hujson.Literal).String() }

// moveToFront moves the named members of an object to its front, in the given
// order.
func moveToFront(v *hujson.Value, first []string) {
	position := func(m *hujson.ObjectMember) int {
		for i, f := range first {
			if memberName(m) == f {
				return i
			}
		}
		return len(first)
	}
	members := v.Value.(*hujson.Object).Members
	sort.SliceStable(members, func(i, j int) bool { return position(&members[i]) < position(&members[j]) })
}

func commentLines(text string) hujson.Extra {
	if text == "" {
		return nil
	}
	return hujson.Extra("// " + strings.ReplaceAll(text, "\n", "\n// ") + "\n")
}
