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

// maxEventBytes bounds one line of an event stream. An engine sends one token a
// line, so that more is a fault.
const maxEventBytes = 1 << 20

// chunk is the part of an OpenAI-compatible stream chunk that is read here.
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

// readTokens reads an event stream. Tokens must follow one another from after+1;
// a repeated one is skipped and a gap breaks the stream, because text must be
// neither repeated nor missing. The stream is whole with its "[DONE]" line only.
func readTokens(r io.Reader, after int, each func(Token) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
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
				continue // Repeated, or sent after the token that finished the answer.
			}
			if t.Number != after+1 {
				return errors.Annotatef(ErrBroken, "token %d follows token %d", t.Number, after)
			}
			after = t.Number
			finished = finished || t.Finish != ""
			if err := each(t); err != nil {
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

// isDial reports whether err happened before a connection stood.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
