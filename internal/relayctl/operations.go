package relayctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
)

// followInterval is the time between two reads of the operations by status --follow.
const followInterval = 500 * time.Millisecond

// operationCommands builds the commands that all kinds of operations have in common.
type operationCommands struct {
	*app
	kind string // kind of the operations at the list service
}

// start stores a new operation with a spec.
func (o operationCommands) start(c *cobra.Command, name string, spec any) error {
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	return o.put(c, name, registry.Operation{Spec: text, DesiredState: registry.DesiredRun})
}

// setDesiredState changes the desired state of an operation.
func (o operationCommands) setDesiredState(c *cobra.Command, name, desired string) error {
	return o.put(c, name, registry.Operation{DesiredState: desired})
}

func (o operationCommands) put(c *cobra.Command, name string, op registry.Operation) error {
	return o.change(c, http.MethodPut, registry.OperationsPath+"/"+o.kind+"/"+url.PathEscape(name), op)
}

// desiredStateCommand returns a command that sets the desired state of an operation.
func (o operationCommands) desiredStateCommand(verb, short, desired string) *cobra.Command {
	return &cobra.Command{
		Use: verb + " NAME", Short: short, Args: cli.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.setDesiredState(c, args[0], desired) },
	}
}

// statusCommand returns the command that shows the progress of the kind's operations.
func (o operationCommands) statusCommand() *cobra.Command {
	var follow bool
	c := &cobra.Command{
		Use: "status", Short: "How far each has come", Args: cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if follow {
				return o.follow(c)
			}
			operations, err := o.list(c)
			if err != nil {
				return err
			}
			return o.printOperations(c, operations)
		},
	}
	c.Flags().BoolVar(&follow, "follow", false, "until all are done")
	return c
}

// follow prints the operations at first and after each change, until all are done or the
// command's context ends.
func (o operationCommands) follow(c *cobra.Command) error {
	printed := ""
	for {
		operations, err := o.list(c)
		if err != nil {
			return err
		}
		if rows := operationRows(operations); rows != printed || printed == "" {
			printed = rows
			if err := o.printOperations(c, operations); err != nil {
				return err
			}
		}
		if allDone(operations) || !leader.Sleep(c.Context(), followInterval) {
			return nil
		}
	}
}

// list returns the operations of the kind.
func (o operationCommands) list(c *cobra.Command) (operations []registry.Operation, err error) {
	var allKinds []registry.Operation
	if err := o.get(c, registry.OperationsPath, &allKinds); err != nil {
		return nil, err
	}
	for _, op := range allKinds {
		if op.Kind == o.kind {
			operations = append(operations, op)
		}
	}
	return operations, nil
}

func (o operationCommands) printOperations(c *cobra.Command, operations []registry.Operation) error {
	return o.print(c, operations, func(w io.Writer) {
		fmt.Fprint(w, "NAME\tWISH\tDONE\tSAYS\tPROGRESS\n"+operationRows(operations))
	})
}

func operationRows(operations []registry.Operation) string {
	var rows strings.Builder
	for _, op := range operations {
		fmt.Fprintf(&rows, "%s\t%s\t%v\t%s\t%s\n", op.Name, op.DesiredState, op.Done, op.Message, op.Progress)
	}
	return rows.String()
}

func allDone(operations []registry.Operation) bool {
	for _, op := range operations {
		if !op.Done {
			return false
		}
	}
	return true
}
