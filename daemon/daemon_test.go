package daemon

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"github.com/tamarindstep/tamarindstep/finding"
)

// TestSettingsAreCheckedTogether checks that all invalid settings are reported together, each with its flag.
func TestSettingsAreCheckedTogether(t *testing.T) {
	is := is.New(t)
	t.Setenv("TAMARINDSTEP_STORE", "store.example:1") // a name, not an IP
	t.Setenv("TAMARINDSTEP_VM_LIST", "127.0.0.1:7002")
	f := pflag.NewFlagSet("test", pflag.ContinueOnError)
	addFlags(f)
	is.NoErr(f.Parse([]string{"--name", "two words", "--data-hall", "a", "--caller-listen", "127.0.0.1:1", "--log-level", "loud"}))
	_, err := readSettings(f)
	var findings finding.List
	is.True(errors.As(err, &findings))
	var got []string
	for _, x := range findings {
		got = append(got, x.Code+" "+x.Position.File)
	}
	is.Equal(strings.Join(got, ", "), "TS3000 --admin-listen, TS3003 --log-level, TS3004 --name, "+
		"TS3000 --operator-token-file, TS3000 --peer-key-file, TS3000 --peer-listen, TS3001 --store")
}

func TestNumbersAndWordsAreChecked(t *testing.T) {
	is := is.New(t)
	f := pflag.NewFlagSet("test", pflag.ContinueOnError)
	addFlags(f)
	is.NoErr(f.Parse([]string{
		"--interface", "platform", "--name", "a", "--data-hall", "a", "--caller-listen", "127.0.0.1:1",
		"--admin-listen", "127.0.0.1:2", "--peer-listen", "127.0.0.1:3", "--store", "127.0.0.1:4",
		"--store-writes", "none", "--peer-receiver", "pigeon", "--loads-bytes", "few", "--prompt-homes", "rack",
	}))
	_, err := readSettings(f)
	var findings finding.List
	is.True(errors.As(err, &findings))
	var got []string
	for _, x := range findings {
		got = append(got, x.Code+" "+x.Position.File)
	}
	is.Equal(strings.Join(got, ", "), "TS3005 --loads-bytes, TS3003 --peer-receiver, TS3003 --prompt-homes, TS3005 --store-writes")
}
