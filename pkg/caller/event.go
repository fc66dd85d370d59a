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

// errEventTooLong reports an event longer than maxEventBytes.
const errEventTooLong = errors.ConstError("event of the stream is too long")

// Event is one server-sent event.
type Event struct {
	// ID is the last event id of the stream, set by this event or an earlier one.
	ID string
	// Name is the type of the event; empty means "message".
	Name string
	Data string
}

// EventReader reads a stream of server-sent events as defined by the HTML
// standard (section 9.2.6). Lines may end with CR, LF or CRLF.
type EventReader struct {
	r      *bufio.Reader
	id     string
	skipLF bool // The last line ended with CR, so a following LF is skipped.
}

// NewEventReader returns a reader of an event stream.
func NewEventReader(r io.Reader) *EventReader {
	b := bufio.NewReader(r)
	if bom, err := b.Peek(3); err == nil && string(bom) == "\ufeff" {
		_, _ = b.Discard(3) // Peek has buffered the byte order mark.
	}
	return &EventReader{r: b}
}

// Next returns the next event that has data. An event that is cut off by the
// end of the stream is dropped, as the standard requires; the error is then
// io.EOF or that of the underlying reader.
func (r *EventReader) Next() (Event, error) {
	var name string
	var data []string
	size := 0
	for {
		line, err := r.readLine(maxEventBytes - size)
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

// readLine returns the next complete line without its line ending.
func (r *EventReader) readLine(limit int) (string, error) {
	var line bytes.Buffer
	for {
		b, err := r.r.ReadByte()
		if err != nil {
			return "", err
		}
		skip := r.skipLF
		r.skipLF = false
		switch {
		case b == '\n' && skip:
			continue
		case b == '\n' || b == '\r':
			r.skipLF = b == '\r'
			return line.String(), nil
		case line.Len() >= limit:
			return "", errEventTooLong
		}
		line.WriteByte(b)
	}
}
