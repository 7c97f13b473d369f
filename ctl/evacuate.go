package ctl

import (
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/generation"
)

func (o *options) evacuate() *cobra.Command {
	var back bool
	c := &cobra.Command{
		Use: "evacuate HALL", Short: "Let the backend servers of a data hall get nothing new, or take it back", Args: cobra.ExactArgs(1),
		Long: "evacuate changes the file in force: the backend servers of the data hall get nothing\n" +
			"new, and what runs there ends by itself. With --back the data hall is taken back, and\n" +
			"its backend servers count as cold for their pool's cold-for. Everything else in the\n" +
			"file stays as it is; where another apply comes first, nothing changes.",
		Example: "  tamarindctl evacuate hall-a\n  tamarindctl evacuate hall-a --back",
	}
	c.Flags().BoolVar(&back, "back", false, "take the data hall back")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := o.connect(cmd)
		if err != nil {
			return err
		}
		r, err := client.currentConfiguration()
		if err != nil {
			return err
		}
		if _, err := r.decode(nil); err != nil {
			return err
		}
		text, err := changeEvacuated(r.body, args[0], back)
		if err != nil {
			return err
		}
		out, err := client.apply("evacuated", text, int64(r.generation), generation.NewApplyID())
		if err != nil {
			return err
		}
		return o.print(cmd, out, func(w io.Writer) { printApplied(w, out) })
	}
	return c
}

// changeEvacuated returns a file's text with a data hall added to the evacuated ones, or removed from them.
func changeEvacuated(text []byte, hall string, back bool) ([]byte, error) {
	f, _, findings := config.Read("", text)
	if findings.Failed() {
		return nil, Invalid.New("the file in force can't be read")
	}
	has := slices.Contains(f.Evacuated, hall)
	switch {
	case back && !has:
		return nil, Refused.New("data hall %q isn't evacuated", hall)
	case !back && has:
		return nil, Refused.New("data hall %q is evacuated already", hall)
	case back:
		f.Evacuated = slices.DeleteFunc(f.Evacuated, func(name string) bool { return name == hall })
	default:
		f.Evacuated = append(f.Evacuated, hall)
	}
	return config.SetEvacuated(text, f.Evacuated)
}
