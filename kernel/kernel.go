// Package kernel starts and stops the services of a process in the order of their
// dependencies, and looks them up by name.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Service is a part of the process that is started and stopped.
type Service interface {
	// Name returns the name that the service is registered under.
	Name() string
	// Dependencies returns the names of the services that must be started before it.
	Dependencies() []string
	// Start returns once the service is usable.
	Start(ctx context.Context, k *Kernel) error
	// Stop returns once the service has stopped. It is called only after a
	// successful Start.
	Stop(ctx context.Context) error
}

// AfterStarter is a service that begins its work only once all services have been started: services that start after it
// would miss earlier notifications from it.
type AfterStarter interface {
	Service
	// AfterStart returns without blocking. It is called at most once.
	AfterStart()
}

// Error types of the package.
var (
	namespace = errorx.NewNamespace("kernel")
	// Unknown is the type of errors for a name that isn't registered, or whose service has another Go type.
	Unknown = namespace.NewType("unknown_service")
	// Cycle is the type of errors for cyclic dependencies.
	Cycle = namespace.NewType("cycle")
	// Duplicate is the type of errors for a name that is registered twice.
	Duplicate = namespace.NewType("duplicate_service")
)

// Kernel holds the services of a process.
type Kernel struct {
	services map[string]Service
	names    []string // in the order of registration
	started  []Service
}

// New returns a kernel with the given services registered, or an error of type Duplicate.
func New(services ...Service) (*Kernel, error) {
	k := &Kernel{services: map[string]Service{}}
	for _, s := range services {
		if k.services[s.Name()] != nil {
			return nil, Duplicate.New("duplicate service name %q", s.Name())
		}
		k.services[s.Name()] = s
		k.names = append(k.names, s.Name())
	}
	return k, nil
}

// Lookup returns the service with the given name as a T, or an error of type Unknown.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, Unknown.New("service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, Unknown.New("service %q is a %T, not a %T", name, s, zero)
	}
	return t, nil
}

// Start starts all services, each after its dependencies, and then calls AfterStart of those that have it. If a service
// fails to start, those already started are stopped and all errors are returned.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			err = fmt.Errorf("start service %q: %w", s.Name(), err)
			return errors.Join(err, k.Stop(ctx))
		}
		k.started = append(k.started, s)
	}
	for _, s := range order {
		if a, ok := s.(AfterStarter); ok {
			a.AfterStart()
		}
	}
	return nil
}

// Stop stops the started services in reverse order and returns all errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for _, s := range slices.Backward(k.started) {
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop service %q: %w", s.Name(), err))
		}
	}
	k.started = nil
	return errors.Join(errs...)
}

// order returns the services sorted so that each comes after its dependencies.
func (k *Kernel) order() ([]Service, error) {
	var out []Service
	state := map[string]int{} // 1 being visited, 2 done
	var visit func(name string, path []string) error
	visit = func(name string, path []string) error {
		path = append(path, name)
		s, ok := k.services[name]
		if !ok {
			return Unknown.New("service %q is not registered, but needed by %s", name, strings.Join(path[:len(path)-1], " by "))
		}
		if state[name] == 2 {
			return nil
		}
		if state[name] == 1 {
			return Cycle.New("cyclic dependency of services: %s", strings.Join(path, ", "))
		}
		state[name] = 1
		for _, dependency := range s.Dependencies() {
			if err := visit(dependency, path); err != nil {
				return err
			}
		}
		state[name] = 2
		out = append(out, s)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name, nil); err != nil {
			return nil, fmt.Errorf("order services: %w", err)
		}
	}
	return out, nil
}
