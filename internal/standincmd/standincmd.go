// Package standincmd implements the command line of the stand-ins for the platform and the backend servers.
package standincmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/standin"
	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// NewCommand returns the command, with a subcommand for each stand-in.
func NewCommand() *cobra.Command {
	c := &cobra.Command{
		Use:          "tamarind-standin",
		Short:        "Small stand-ins for the platform and the backend servers",
		SilenceUsage: true,
	}
	c.AddCommand(store(), vmlist(), engine(), service(), backend())
	return c
}

// Main runs the command and returns the exit code.
func Main() int {
	if err := NewCommand().Execute(); err != nil {
		return 1
	}
	return 0
}

// framingWords are the forms of answers, by the words of the command line.
var framingWords = map[string]users.Form{"sized": users.Sized, "chunked": users.Chunked, "open": users.UntilClose}

// backend is a backend server of the users' platform. It announces itself by the first line of its output, which its
// parent writes to the store.
func backend() *cobra.Command {
	c := &cobra.Command{Use: "backend", Short: "A backend server of the users' platform, as a process of its own", Args: cobra.NoArgs}
	listen := c.Flags().String("listen", "127.0.0.1:0", "IP and port")
	name := c.Flags().String("name", "backend-1", "its name in the store")
	pool := c.Flags().String("pool", "engines", "the service that it serves")
	hall := c.Flags().String("data-hall", "hall-a", "its data hall")
	events := c.Flags().Int("events", 0, "events of its streams; 0 for plain answers")
	gap := c.Flags().Duration("gap", 0, "time between two events, or before a plain answer")
	half := c.Flags().Duration("half-pause", 0, "time between the halves of a plain answer")
	framings := c.Flags().StringSlice("framings", nil, "how the ends of its answers are marked, in turn: sized, chunked, open")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		x := users.Behaviour{Events: *events, Gap: *gap, HalfPause: *half}
		for _, word := range *framings {
			form, ok := framingWords[word]
			if !ok {
				return fmt.Errorf("--framings: %q is neither sized, chunked nor open", word)
			}
			x.Framings = append(x.Framings, form)
		}
		return users.RunProcess(*listen, *name, *pool, *hall, x, cmd.OutOrStdout(), ctx.Done())
	}
	return c
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
