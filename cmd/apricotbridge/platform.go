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

// operatorTokenVariable names the environment variable with the operator token.
// Arguments, unlike variables, can be read by other users of the machine.
const operatorTokenVariable = "APRICOTBRIDGE_OPERATOR_TOKEN"

// connectionFlags holds the flags for connections to the key-value service and to
// the daemons.
type connectionFlags struct {
	keyValue, settings, token string
}

func (p *connectionFlags) addKeyValueFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.keyValue, "key-value", "", "base URL of the key-value service")
	c.Flags().StringVar(&p.settings, "settings", "", "settings of a daemon, to take the addresses and the operator token from")
	c.MarkFlagsMutuallyExclusive("key-value", "settings")
}

func (p *connectionFlags) addTokenFlag(c *cobra.Command) {
	c.Flags().StringVar(&p.token, "token", "", "operator token; default is the variable "+operatorTokenVariable)
}

// resolve fills in the operator token and the address of the key-value service
// from the environment and from the settings file, if one is given.
func (p *connectionFlags) resolve() error {
	if p.token == "" {
		p.token = os.Getenv(operatorTokenVariable)
	}
	if p.settings == "" {
		return nil
	}
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return failure(err)
	}
	s, err := settings.Parse(text)
	if err != nil {
		return failure(err)
	}
	p.keyValue = s.KeyValue.Address
	if p.token == "" {
		p.token = s.OperatorToken
	}
	return nil
}

func (p *connectionFlags) keyValueClient() *keyvalue.Client {
	return &keyvalue.Client{Address: p.keyValue, Timeout: callTimeout}
}

func (p *connectionFlags) operatorClient() *operations.OperatorClient {
	return &operations.OperatorClient{Token: p.token, Timeout: callTimeout}
}

// withExitCode wraps the error of a command with its exit code.
func withExitCode(err error) error {
	if errors.Is(err, operations.ErrUnavailable) {
		return unavailable(err)
	}
	return failure(err)
}

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// addOutputFlag adds --output to a command.
func addOutputFlag(c *cobra.Command, output *string) {
	c.Flags().StringVar(output, "output", outputTable, "output format: json or table")
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
