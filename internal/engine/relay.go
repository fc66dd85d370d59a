package engine

import (
	"io"
	"time"

	"github.com/juju/errors"
)

// maxUnreadTokens is how many tokens of a stream wait for a slow reader. Above it the
// engine is held up by its connection.
const maxUnreadTokens = 64

// arrivalClock finds silences of an engine: times without a token that exceed the idle
// timeout.
type arrivalClock struct {
	idle  time.Duration
	since time.Time
	// timer cancels the stream at the end of the idle timeout.
	timer *time.Timer
}

// arrived reports an error if the token came after the idle timeout. A token can be
// read after the timer has fired, or before the timer runs if the process was
// suspended.
func (c *arrivalClock) arrived(t Token) error {
	if !c.timer.Stop() || time.Since(c.since) > c.idle {
		return errors.Annotatef(ErrBroken, "token %d came after the idle timeout of %v", t.Number, c.idle)
	}
	return nil
}

// await starts the wait for the next token.
func (c *arrivalClock) await() {
	c.since = time.Now()
	c.timer.Reset(c.idle)
}

// relayTokens reads tokens from body and calls onToken for each in order. Tokens are
// read as they arrive, apart from onToken: if a slow reader delayed the reading, a
// silence of the engine in that time would go unseen. cancel ends the reading.
func relayTokens(body io.Reader, afterToken int, clock arrivalClock, cancel func(), onToken func(Token) error) error {
	tokens, stopped := make(chan Token, maxUnreadTokens), make(chan struct{})
	var readErr error // Written before tokens is closed.
	go func() {
		defer close(tokens)
		readErr = readTokens(body, afterToken, func(t Token) error {
			if err := clock.arrived(t); err != nil {
				return err
			}
			select {
			case tokens <- t:
			case <-stopped:
				return errors.Annotate(ErrBroken, "reader has stopped")
			}
			clock.await()
			return nil
		})
	}()
	for t := range tokens {
		if err := onToken(t); err != nil {
			close(stopped)
			cancel()
			for range tokens { // The body is not read after the return.
			}
			return err
		}
	}
	return readErr
}
