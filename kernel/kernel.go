// Package kernel starts and stops the services of a process and lets them find
// each other by name.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Service is a part of the process with a life of its own.
type Service interface {
	// Name is what other services find it by.
	Name() string
	// Needs names the services that must be started before it.
	Needs() []string
	// Start returns once the service is usable.
	Start(ctx context.Context, k *Kernel) error
	// Stop returns once the service has ended; it is called only after a
	// successful Start.
	Stop(ctx context.Context) error
}

// Beginner is a service that begins its work only once all services have been started. What it told others before would
// be lost on those that start after it.
type Beginner interface {
	Service
	// Begin returns at once. It is called at most once.
	Begin()
}

// The errors of the kernel.
var (
	namespace = errorx.NewNamespace("kernel")
	// Unknown is the error for a name that no service has, or one of another type.
	Unknown = namespace.NewType("unknown_service")
	// Cycle is the error for services that need each other in a circle.
	Cycle = namespace.NewType("cycle")
	// Duplicate is the error for two services of one name.
	Duplicate = namespace.NewType("duplicate_service")
)

// Kernel holds the services.
type Kernel struct {
	services map[string]Service
	names    []string // in the order of registration
	started  []Service
}

// New returns a kernel with the given services registered.
func New(services ...Service) (*Kernel, error) {
	k := &Kernel{services: map[string]Service{}}
	for _, s := range services {
		if k.services[s.Name()] != nil {
			return nil, Duplicate.New("two services are named %q", s.Name())
		}
		k.services[s.Name()] = s
		k.names = append(k.names, s.Name())
	}
	return k, nil
}

// Lookup returns the service of that name as the type asked for.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, Unknown.New("no service is named %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, Unknown.New("service %q is a %T, not a %T", name, s, zero)
	}
	return t, nil
}

// Start starts all services, each after those it needs, and then lets those begin that wait for all. Where one
// fails, those already started are stopped and every failure is returned.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			err = fmt.Errorf("service %q doesn't start: %w", s.Name(), err)
			return errors.Join(err, k.Stop(ctx))
		}
		k.started = append(k.started, s)
	}
	for _, s := range order {
		if b, ok := s.(Beginner); ok {
			b.Begin()
		}
	}
	return nil
}

// Stop stops the started services in reverse and returns every failure.
func (k *Kernel) Stop(ctx context.Context) error {
	var failures []error
	for _, s := range slices.Backward(k.started) {
		if err := s.Stop(ctx); err != nil {
			failures = append(failures, fmt.Errorf("service %q doesn't stop: %w", s.Name(), err))
		}
	}
	k.started = nil
	return errors.Join(failures...)
}

// order sorts the services so that each comes after those it needs.
func (k *Kernel) order() ([]Service, error) {
	var out []Service
	state := map[string]int{} // 1 being visited, 2 done
	var visit func(name string, path []string) error
	visit = func(name string, path []string) error {
		path = append(path, name)
		s, ok := k.services[name]
		if !ok {
			return Unknown.New("no service is named %q, needed by %s", name, strings.Join(path[:len(path)-1], " by "))
		}
		if state[name] == 2 {
			return nil
		}
		if state[name] == 1 {
			return Cycle.New("services need each other: %s", strings.Join(path, ", "))
		}
		state[name] = 1
		for _, need := range s.Needs() {
			if err := visit(need, path); err != nil {
				return err
			}
		}
		state[name] = 2
		out = append(out, s)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name, nil); err != nil {
			return nil, fmt.Errorf("services can't be ordered: %w", err)
		}
	}
	return out, nil
}
