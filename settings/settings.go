// Package settings reads a program's settings from flags and environment
// variables, and reports all invalid ones together.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"github.com/tamarindstep/tamarindstep/finding"
)

// EnvPrefix is the prefix of the environment variable of each flag: the flag
// --caller-listen is TAMARINDSTEP_CALLER_LISTEN.
const EnvPrefix = "TAMARINDSTEP"

// The codes of the findings.
const (
	CodeMissing = "TS3000"
	CodeAddress = "TS3001"
	CodeFile    = "TS3002"
	CodeChoice  = "TS3003"
	CodeName    = "TS3004"
	CodeNumber  = "TS3005"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Reader reads settings and collects findings on invalid ones.
type Reader struct {
	values   *viper.Viper
	findings finding.List
}

// NewReader returns a reader of the flags. A flag that isn't given is read from the environment.
func NewReader(flags *pflag.FlagSet) (*Reader, error) {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(flags); err != nil {
		return nil, err
	}
	return &Reader{values: v}, nil
}

// Err returns all findings as one error, or nil if there are none.
func (r *Reader) Err() error {
	r.findings.Sort()
	return r.findings.Err()
}

func (r *Reader) add(code, flag, format string, args ...any) {
	r.findings = append(r.findings, finding.Finding{
		Code: code, Severity: finding.Error,
		Position: finding.Position{File: "--" + flag}, Message: fmt.Sprintf(format, args...),
	})
}

// Text returns an optional setting.
func (r *Reader) Text(flag string) string { return r.values.GetString(flag) }

func (r *Reader) required(flag string) (string, bool) {
	v := r.values.GetString(flag)
	if v == "" {
		env := EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
		r.add(CodeMissing, flag, "must be given, as a flag or as %s", env)
	}
	return v, v != ""
}

// Name returns a required setting that must be a valid name.
func (r *Reader) Name(flag string) string {
	v, ok := r.required(flag)
	if ok && !namePattern.MatchString(v) {
		r.add(CodeName, flag, "%q isn't a name of letters, digits, dots, dashes and underscores", v)
	}
	return v
}

// Address returns a required setting that must be an IP and port.
func (r *Reader) Address(flag string) string {
	v, ok := r.required(flag)
	if !ok {
		return v
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.add(CodeAddress, flag, "%q isn't an IP and port", v)
	}
	return v
}

// Secret returns the contents, without surrounding white space, of the file named by a
// required setting.
func (r *Reader) Secret(flag string) string {
	path, ok := r.required(flag)
	if !ok {
		return ""
	}
	data, err := os.ReadFile(path)
	if err != nil {
		r.add(CodeFile, flag, "can't be read: %v", err)
		return ""
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretLength {
		r.add(CodeFile, flag, "%q holds less than %d characters", path, minSecretLength)
	}
	return secret
}

// Number returns a setting that must be a number not less than minimum.
func (r *Reader) Number(flag string, minimum float64) float64 {
	text := r.values.GetString(flag)
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < minimum {
		r.add(CodeNumber, flag, "%q isn't a number of at least %v", text, minimum)
	}
	return v
}

// minSecretLength is the minimum length of a secret in bytes.
const minSecretLength = 16

// Choice returns a setting that must be one of the allowed values.
func (r *Reader) Choice(flag string, allowed ...string) string {
	v := r.values.GetString(flag)
	if !slices.Contains(allowed, v) {
		r.add(CodeChoice, flag, "%q is not one of: %s", v, strings.Join(allowed, ", "))
	}
	return v
}
