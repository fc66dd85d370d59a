package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maxLineBytes bounds one line of an event stream, which carries one token.
const maxLineBytes = 1 << 20

// chunk contains the members of an OpenAI-compatible stream chunk that are used.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// readTokens reads an event stream whose tokens are numbered from after+1. It skips
// repeated tokens and fails on a gap, because text must be neither repeated nor
// missing. The stream is complete only with a finish reason and a "[DONE]" line.
func readTokens(r io.Reader, after int, onToken func(Token) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	finished := false
	id := 0
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			n, err := strconv.Atoi(value)
			if err != nil {
				return errors.Annotatef(ErrBroken, "event id %q is not a number", value)
			}
			id = n
		case "data":
			if value == "[DONE]" {
				if !finished {
					return errors.Annotate(ErrBroken, "stream ended without a finish reason")
				}
				return nil
			}
			t, err := parseToken(id, value)
			if err != nil {
				return err
			}
			if t.Number <= after || finished {
				continue // A repeated token, or one after the finish reason.
			}
			if t.Number != after+1 {
				return errors.Annotatef(ErrBroken, "token %d follows token %d", t.Number, after)
			}
			after = t.Number
			finished = finished || t.Finish != ""
			if err := onToken(t); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Annotatef(ErrBroken, "%v", err)
	}
	return errors.Annotate(ErrBroken, "connection closed")
}

func parseToken(id int, data string) (Token, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return Token{}, errors.Annotatef(ErrBroken, "chunk is not JSON: %v", err)
	}
	if len(c.Choices) != 1 {
		return Token{}, errors.Annotatef(ErrBroken, "chunk has %d choices", len(c.Choices))
	}
	choice := c.Choices[0]
	return Token{
		Number: id, Text: choice.Text + choice.Delta.Content, Finish: choice.FinishReason, Usage: c.Usage,
	}, nil
}

// isDialError reports whether err occurred before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
