package main

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/operations"
	"apricotbridge/internal/settings"
)

// callTimeout bounds one call to the key-value service or a daemon.
const callTimeout = 2 * time.Second

// operatorTokenVariable holds the operators' token, so that it need not be among
// the arguments, which other users of the machine can read.
const operatorTokenVariable = "APRICOTBRIDGE_OPERATOR_TOKEN"

// platform holds the flags that say where the key-value service and the daemons
// are.
type platform struct {
	keyValue, settings, token string
}

func (p *platform) keyValueFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.keyValue, "key-value", "", "base URL of the key-value service")
	c.Flags().StringVar(&p.settings, "settings", "", "settings of a daemon, to take the addresses and the operator token from")
	c.MarkFlagsMutuallyExclusive("key-value", "settings")
}

func (p *platform) tokenFlag(c *cobra.Command) {
	c.Flags().StringVar(&p.token, "token", "", "operator token; default is the variable "+operatorTokenVariable)
}

// resolve reads the settings that were named.
func (p *platform) resolve() error {
	if p.token == "" {
		p.token = os.Getenv(operatorTokenVariable)
	}
	if p.settings == "" {
		return nil
	}
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return fault(err)
	}
	s, err := settings.Parse(text)
	if err != nil {
		return fault(err)
	}
	p.keyValue = s.KeyValue.Address
	if p.token == "" {
		p.token = s.OperatorToken
	}
	return nil
}

func (p *platform) store() *keyvalue.Client {
	return &keyvalue.Client{Address: p.keyValue, Timeout: callTimeout}
}

func (p *platform) operators() *operations.Operators {
	return &operations.Operators{Token: p.token, Timeout: callTimeout}
}

// outcome gives an error of a command its exit code.
func outcome(err error) error {
	if errors.Is(err, operations.ErrUnavailable) {
		return unavailable(err)
	}
	return fault(err)
}

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFlag adds --output to a command.
func outputFlag(c *cobra.Command, output *string) {
	c.Flags().StringVar(output, "output", outputTable, "form of the output: json or table")
	// The flag is defined above.
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputJSON, outputTable}, cobra.ShellCompDirectiveNoFileComp))
}

func checkOutput(output string) error {
	if output != outputJSON && output != outputTable {
		return errors.Errorf("output %q is neither json nor table", output)
	}
	return nil
}

func writeJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
