// Package ctl implements tamarindctl, the operators' command line tool.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/admin"
	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check/checks"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/settings"
)

// The exit codes.
const (
	ExitOK        = 0
	ExitUsage     = 1 // the command line is wrong, or the router refused
	ExitInvalid   = 2 // the file has errors
	ExitConflict  = 3 // another apply came first
	ExitUnreached = 4 // no router or no store was reachable; nothing was done
	ExitLost      = 5 // it is unknown whether the apply took effect
)

const exitHelp = `Exit codes:
  0  done
  1  the command line is wrong, or the router refused
  2  the file has errors; all of them are printed
  3  another apply came first; nothing was applied
  4  no router or no store answered; nothing was applied
  5  it isn't known whether the apply took hold; apply the same file again`

// Main runs the command line and returns the exit code.
func Main() int {
	return Run(os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs the command line with the given arguments.
func Run(args []string, stdout, stderr io.Writer) int {
	c := NewCommand()
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	err := c.Execute()
	if err != nil && !errors.Is(err, errReported) {
		fmt.Fprintln(stderr, "tamarindctl:", err)
	}
	return exitCode(err)
}

// errReported is the error for findings that have already been printed.
var errReported = errors.New("the file has errors")

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errReported) || errorx.IsOfType(err, Invalid):
		return ExitInvalid
	case errorx.IsOfType(err, Conflicted):
		return ExitConflict
	case errorx.IsOfType(err, Unreached):
		return ExitUnreached
	case errorx.IsOfType(err, Lost):
		return ExitLost
	}
	return ExitUsage
}

// options are the flags common to all commands.
type options struct {
	output string
}

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:           "tamarindctl",
		Short:         "Operate a fleet of tamarindstep routers",
		Long:          "tamarindctl operates a fleet of routers through any one of them.\n\n" + exitHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := c.PersistentFlags()
	f.String("router", "", "IP and port of a router's administration API (TAMARINDSTEP_ROUTER)")
	f.String("operator-token-file", "", "file with the operators' token (TAMARINDSTEP_OPERATOR_TOKEN_FILE)")
	f.StringVarP(&o.output, "output", "o", "text", "text or json")
	c.AddCommand(o.validate(), o.diff(), o.apply(), o.get(), o.status(), o.evacuate(), o.drain(), o.release(), o.policies(), o.hashKey(), o.explain())
	return c
}

// connect returns a client for the router given by the settings.
func (o *options) connect(cmd *cobra.Command) (*client, error) {
	r, err := settings.NewReader(cmd.Flags())
	if err != nil {
		return nil, err
	}
	address := r.Address("router")
	token := r.Secret("operator-token-file")
	if err := r.Err(); err != nil {
		return nil, err
	}
	return newClient(address, token), nil
}

// report prints findings and returns errReported if one is an error.
func (o *options) report(cmd *cobra.Command, findings finding.List) error {
	format, ok := finding.Formatters[o.output]
	if !ok {
		return fmt.Errorf("--output: %q is neither text nor json", o.output)
	}
	if len(findings) > 0 || o.output == "json" {
		if err := format(cmd.OutOrStdout(), findings); err != nil {
			return err
		}
	}
	if findings.Failed() {
		return errReported
	}
	return nil
}

// print prints a value as JSON or calls text, depending on the output format.
func (o *options) print(cmd *cobra.Command, v any, text func(io.Writer)) error {
	switch o.output {
	case "json":
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "text":
		text(cmd.OutOrStdout())
		return nil
	}
	return fmt.Errorf("--output: %q is neither text nor json", o.output)
}

// readFile reads an operators' file and checks it locally.
func (o *options) readFile(cmd *cobra.Command, name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	if len(text) > config.MaxSize {
		return nil, Invalid.New("%s: %d bytes is more than %d", name, len(text), config.MaxSize)
	}
	_, findings := checks.File(name, text)
	if findings.Failed() {
		return nil, o.report(cmd, findings)
	}
	return text, nil
}

func (o *options) validate() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a file and print everything that is wrong with it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			_, findings := checks.File(args[0], text)
			return o.report(cmd, findings)
		},
	}
}

func (o *options) diff() *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Show what a file would change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := o.readFile(cmd, args[0])
			if err != nil {
				return err
			}
			c, err := o.connect(cmd)
			if err != nil {
				return err
			}
			r, err := c.call("POST", "/admin/v1/diff", text, admin.FileHeader, args[0])
			if err != nil {
				return err
			}
			var out admin.DiffResult
			if _, err := r.decode(&out); err != nil {
				return err
			}
			return o.print(cmd, out, func(w io.Writer) { printDiff(w, out) })
		},
	}
}

func (o *options) apply() *cobra.Command {
	var base int64
	var id string
	c := &cobra.Command{
		Use: "apply FILE", Short: "Put a file in force, as a whole or not at all", Args: cobra.ExactArgs(1),
		Long: "apply puts a file in force, as a whole or not at all. It builds on the generation in\n" +
			"force when it begins, or on --base; where another apply comes first, nothing is applied.",
	}
	c.Flags().Int64Var(&base, "base", -1, "the generation that the file builds on")
	c.Flags().StringVar(&id, "apply-id", "", "identifier of the apply; give that of an apply whose outcome was lost")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := o.readFile(cmd, args[0])
		if err != nil {
			return err
		}
		client, err := o.connect(cmd)
		if err != nil {
			return err
		}
		if base < 0 {
			r, err := client.currentConfiguration()
			if err != nil {
				return err
			}
			base = int64(r.generation)
		}
		if id == "" {
			id = generation.NewApplyID()
		}
		out, err := client.apply(args[0], text, base, id)
		if err != nil {
			if errorx.IsOfType(err, Lost) {
				return errorx.Decorate(err, "try again with --base %d --apply-id %s", base, id)
			}
			return err
		}
		return o.print(cmd, out, func(w io.Writer) { printApplied(w, out) })
	}
	return c
}

// currentConfiguration returns the configuration that an apply builds on: the last one that was accepted, which the router
// may not have received yet. Its generation is 0 if there is none.
func (c *client) currentConfiguration() (*response, error) {
	r, err := c.call("GET", "/admin/v1/configuration?"+admin.CurrentQuery, nil)
	if err != nil || r.status == fasthttp.StatusNotFound {
		return r, err
	}
	_, err = r.decode(nil)
	return r, err
}

// applyAttempts is the maximum number of attempts of an apply whose response is lost.
const applyAttempts = 3

// apply applies a file. If the response is lost, it tries again with the same identifier,
// which can take effect only once.
func (c *client) apply(name string, text []byte, base int64, id string) (admin.Applied, error) {
	var out admin.Applied
	var err error
	for range applyAttempts {
		var r *response
		r, err = c.call("PUT", "/admin/v1/configuration", text,
			admin.BaseHeader, fmt.Sprint(base), admin.ApplyHeader, id, admin.FileHeader, name)
		if err == nil {
			_, err = r.decode(&out)
		}
		if !errorx.IsOfType(err, Lost) {
			break
		}
	}
	return out, err
}

func (o *options) get() *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Print the file in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.connect(cmd)
			if err != nil {
				return err
			}
			r, err := c.call("GET", "/admin/v1/configuration", nil)
			if err != nil {
				return err
			}
			if _, err := r.decode(nil); err != nil {
				return err
			}
			out := struct {
				Generation uint64 `json:"generation"`
				Text       string `json:"text"`
			}{r.generation, string(r.body)}
			return o.print(cmd, out, func(w io.Writer) { _, _ = w.Write(r.body) })
		},
	}
}

func (o *options) status() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show routers, backend servers and client accounts over the fleet", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.connect(cmd)
			if err != nil {
				return err
			}
			r, err := c.call("GET", "/admin/v1/status", nil)
			if err != nil {
				return err
			}
			out, err := readStatus(r)
			if err != nil {
				return err
			}
			return o.print(cmd, out, func(w io.Writer) { printStatus(w, out) })
		},
	}
}

func (o *options) release() *cobra.Command {
	return o.postCommand("release REQUEST", "Let a request through that is held back, by its fingerprint", "/admin/v1/release/")
}

func (o *options) drain() *cobra.Command {
	return o.postCommand("drain ROUTER", "Let a router finish its requests and stop", "/admin/v1/drain/")
}

// postCommand returns a command that sends a POST request to path with its argument appended.
func (o *options) postCommand(use, short, path string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.connect(cmd)
			if err != nil {
				return err
			}
			r, err := c.call("POST", path+args[0], nil)
			if err != nil {
				return err
			}
			_, err = r.decode(nil)
			return err
		},
	}
}

func (o *options) policies() *cobra.Command {
	return &cobra.Command{
		Use: "policies", Short: "List the policies; with --router, also which is in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := admin.Policies("")
			if r, err := settings.NewReader(cmd.Flags()); err == nil && r.Text("router") != "" {
				c, err := o.connect(cmd)
				if err != nil {
					return err
				}
				answer, err := c.call("GET", "/admin/v1/policies", nil)
				if err != nil {
					return err
				}
				if _, err := answer.decode(&out); err != nil {
					return err
				}
			}
			return o.print(cmd, out, func(w io.Writer) { printPolicies(w, out) })
		},
	}
}

func (o *options) hashKey() *cobra.Command {
	return &cobra.Command{
		Use: "hash-key", Short: "Read a key from standard input and print it as a file gives it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := io.ReadAll(cmd.InOrStdin())
			if err != nil {
				return err
			}
			for len(key) > 0 && (key[len(key)-1] == '\n' || key[len(key)-1] == '\r') {
				key = key[:len(key)-1]
			}
			fmt.Fprintln(cmd.OutOrStdout(), config.HashKey(string(key)))
			return nil
		},
	}
}
