package kernel

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// fake is a service that records the calls of its methods.
type fake struct {
	name        string
	needs       []string
	start, stop error
	events      *[]string
}

func (f *fake) Name() string           { return f.name }
func (f *fake) Dependencies() []string { return f.needs }

func (f *fake) Start(context.Context, *Kernel) error {
	*f.events = append(*f.events, "start "+f.name)
	return f.start
}

func (f *fake) Stop(context.Context) error {
	*f.events = append(*f.events, "stop "+f.name)
	return f.stop
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	var events []string
	k, err := New(
		&fake{name: "front", needs: []string{"back", "log"}, events: &events},
		&fake{name: "back", needs: []string{"log"}, events: &events},
		&fake{name: "log", events: &events},
	)
	is.NoErr(err)
	is.NoErr(k.Start(context.Background()))
	is.NoErr(k.Stop(context.Background()))
	is.Equal(strings.Join(events, ", "), "start log, start back, start front, stop front, stop back, stop log")
}

// afterStarter is a fake service with AfterStart.
type afterStarter struct{ fake }

func (a *afterStarter) AfterStart() { *a.events = append(*a.events, "begin "+a.name) }

func TestAfterStartIsCalledOnceAllAreStarted(t *testing.T) {
	is := is.New(t)
	var events []string
	k, err := New(
		&afterStarter{fake{name: "core", events: &events}},
		&fake{name: "front", needs: []string{"core"}, events: &events},
	)
	is.NoErr(err)
	is.NoErr(k.Start(context.Background()))
	is.NoErr(k.Stop(context.Background()))
	is.Equal(strings.Join(events, ", "), "start core, start front, begin core, stop front, stop core")

	events = nil
	broken := errors.New("broken")
	k, err = New(
		&afterStarter{fake{name: "core", events: &events}},
		&fake{name: "front", needs: []string{"core"}, start: broken, events: &events},
	)
	is.NoErr(err)
	is.True(errors.Is(k.Start(context.Background()), broken))
	is.Equal(strings.Join(events, ", "), "start core, start front, stop core")
}

func TestStartReturnsAllErrors(t *testing.T) {
	is := is.New(t)
	var events []string
	broken, stuck := errors.New("broken"), errors.New("stuck")
	k, err := New(
		&fake{name: "a", stop: stuck, events: &events},
		&fake{name: "b", needs: []string{"a"}, start: broken, events: &events},
		&fake{name: "c", needs: []string{"b"}, events: &events},
	)
	is.NoErr(err)
	err = k.Start(context.Background())
	is.True(errors.Is(err, broken) && errors.Is(err, stuck))
	is.Equal(strings.Join(events, ", "), "start a, start b, stop a") // a service that failed to start isn't stopped
}

func TestInvalidServices(t *testing.T) {
	is := is.New(t)
	_, err := New(&fake{name: "a"}, &fake{name: "a"})
	is.True(errorx.IsOfType(err, Duplicate))
	k, err := New(&fake{name: "a", needs: []string{"b"}}, &fake{name: "b", needs: []string{"a"}})
	is.NoErr(err)
	err = k.Start(context.Background())
	var found *errorx.Error
	is.True(errors.As(err, &found) && found.IsOfType(Cycle))
	k, err = New(&fake{name: "a", needs: []string{"missing"}})
	is.NoErr(err)
	is.True(k.Start(context.Background()) != nil)
	_, err = Lookup[*fake](k, "nobody")
	is.True(errorx.IsOfType(err, Unknown))
}
