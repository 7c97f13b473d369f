// Package standincmd implements the command line of the stand-ins for the platform and the backend servers.
package standincmd

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/standin"
)

// NewCommand returns the command, with a subcommand for each stand-in.
func NewCommand() *cobra.Command {
	c := &cobra.Command{
		Use:          "tamarind-standin",
		Short:        "Small stand-ins for the platform and the backend servers",
		SilenceUsage: true,
	}
	c.AddCommand(store(), vmlist(), engine(), service())
	return c
}

// Main runs the command and returns the exit code.
func Main() int {
	if err := NewCommand().Execute(); err != nil {
		return 1
	}
	return 0
}

// serve runs a handler until the process receives SIGTERM or SIGINT.
func serve(cmd *cobra.Command, listen string, handler fasthttp.RequestHandler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := standin.Serve(listen, handler)
	if err != nil {
		return err
	}
	cmd.Printf("%s listens on %s\n", cmd.Name(), s.Address())
	<-ctx.Done()
	s.Close()
	return nil
}

func store() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "The platform's key-value service", Args: cobra.NoArgs}
	listen := c.Flags().String("listen", "127.0.0.1:7001", "IP and port")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd, *listen, standin.NewStore().Handle)
	}
	return c
}

func vmlist() *cobra.Command {
	c := &cobra.Command{Use: "vmlist", Short: "The platform's list of VMs", Args: cobra.NoArgs}
	listen := c.Flags().String("listen", "127.0.0.1:7002", "IP and port")
	lag := c.Flags().Duration("lag", time.Second, "how long a change takes to show")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd, *listen, standin.NewVMList(*lag).Handle)
	}
	return c
}

func engine() *cobra.Command {
	c := &cobra.Command{Use: "engine", Short: "A model engine", Args: cobra.NoArgs}
	listen := c.Flags().String("listen", "127.0.0.1:7101", "IP and port")
	name := c.Flags().String("name", "engine", "the name it gives in its answers")
	slots := c.Flags().Int("slots", 8, "requests it runs at once")
	gap := c.Flags().Duration("token-gap", 20*time.Millisecond, "time between two tokens of a request")
	lag := c.Flags().Duration("lag", 500*time.Millisecond, "age of its load report")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd, *listen, standin.NewEngine(*name, *slots, *gap, *lag).Handle)
	}
	return c
}

func service() *cobra.Command {
	c := &cobra.Command{Use: "service", Short: "A plain service", Args: cobra.NoArgs}
	listen := c.Flags().String("listen", "127.0.0.1:7201", "IP and port")
	name := c.Flags().String("name", "service", "the name it gives in its answers")
	work := c.Flags().Duration("work", 10*time.Millisecond, "how long a call takes")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd, *listen, standin.NewService(*name, *work).Handle)
	}
	return c
}
