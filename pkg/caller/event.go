package caller

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/juju/errors"
)

// maxEventBytes bounds one event. A chunk of a completion takes a few hundred
// bytes.
const maxEventBytes = 1 << 20

// errEventTooLong reports an event over maxEventBytes.
const errEventTooLong = errors.ConstError("event of the stream is too long")

// Event is one event of an event stream.
type Event struct {
	// ID is the last id that the stream gave, in this event or an earlier one.
	ID string
	// Name is the type of the event; empty means "message".
	Name string
	Data string
}

// EventReader reads an event stream as the HTML standard describes it
// (section 9.2.6). Lines may end with CR, LF or both.
type EventReader struct {
	r    *bufio.Reader
	id   string
	skip bool // The last line ended with CR, so that a LF belongs to it.
}

// NewEventReader returns a reader of an event stream.
func NewEventReader(r io.Reader) *EventReader {
	b := bufio.NewReader(r)
	if mark, err := b.Peek(3); err == nil && string(mark) == "\ufeff" {
		_, _ = b.Discard(3) // Peek has them in the buffer.
	}
	return &EventReader{r: b}
}

// Next returns the next event with data. An event that the end of the stream cuts
// off is dropped, as the standard says; the error is then io.EOF or that of the
// stream.
func (r *EventReader) Next() (Event, error) {
	var name string
	var data []string
	size := 0
	for {
		line, err := r.line(maxEventBytes - size)
		if err != nil {
			return Event{}, err
		}
		size += len(line) + 1
		if line == "" {
			if data != nil {
				return Event{ID: r.id, Name: name, Data: strings.Join(data, "\n")}, nil
			}
			name, size = "", 0
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			name = value
		case "data":
			data = append(data, value)
		case "id":
			if !strings.Contains(value, "\x00") {
				r.id = value
			}
		}
	}
}

// line returns the next complete line without its end.
func (r *EventReader) line(limit int) (string, error) {
	var line bytes.Buffer
	for {
		b, err := r.r.ReadByte()
		if err != nil {
			return "", err
		}
		skip := r.skip
		r.skip = false
		switch {
		case b == '\n' && skip:
			continue
		case b == '\n' || b == '\r':
			r.skip = b == '\r'
			return line.String(), nil
		case line.Len() >= limit:
			return "", errEventTooLong
		}
		line.WriteByte(b)
	}
}
