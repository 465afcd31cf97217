// Package kernel assembles a program from plug-ins. A plug-in registers itself
// under an ID in an init function. The kernel provisions the selected plug-ins in
// the order of their dependencies, validates all of them, and only then starts any.
package kernel

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/registry"
)

// ID names a plug-in, in the form "group.name".
type ID string

// Plugin is a component of a program with a life cycle. Provision gets its
// dependencies from the injector and registers what it provides there; it must not
// start anything. Start must return once the plug-in runs. Stop waits for work in
// flight until the context ends.
type Plugin interface {
	Provision(injector do.Injector) error
	Validate() error
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Descriptor is the entry of a plug-in in the registry.
type Descriptor struct {
	ID ID
	// After lists plug-ins that are provisioned and started before this one, and
	// stopped after it. Those that are not selected are ignored.
	After []ID
	New   func() Plugin
}

// Errors of the kernel.
var (
	ErrUnknownPlugin = errors.New("kernel: unknown plug-in")
	ErrCycle         = errors.New("kernel: plug-ins depend on each other in a cycle")
)

var plugins = registry.New[ID, Descriptor]("plug-in")

// Register adds a plug-in to the registry. It panics if the ID is already
// registered.
func Register(d Descriptor) { plugins.Add(d.ID, d) }

// Registered returns the sorted IDs of all plug-ins.
func Registered() []ID { return plugins.IDs() }

type instance struct {
	id     ID
	plugin Plugin
}

// Kernel runs a set of plug-ins. Its methods are not safe for concurrent use.
type Kernel struct {
	injector  do.Injector
	instances []instance
	started   int
}

// New provisions and validates the plug-ins with the given IDs. It starts none of
// them.
func New(injector do.Injector, ids ...ID) (*Kernel, error) {
	ordered, err := order(ids)
	if err != nil {
		return nil, err
	}
	k := &Kernel{injector: injector}
	for _, d := range ordered {
		p := d.New()
		if err := p.Provision(injector); err != nil {
			return nil, errors.Wrapf(err, "kernel: provision %s", d.ID)
		}
		k.instances = append(k.instances, instance{id: d.ID, plugin: p})
	}
	return k, k.validate()
}

func (k *Kernel) validate() error {
	var all error
	for _, i := range k.instances {
		if err := i.plugin.Validate(); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "kernel: validate %s", i.id))
		}
	}
	return all
}

// Start starts the plug-ins in order. If one fails, those already running are
// stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, i := range k.instances {
		if err := i.plugin.Start(ctx); err != nil {
			stopErr := k.Stop(ctx)
			return errors.CombineErrors(errors.Wrapf(err, "kernel: start %s", i.id), stopErr)
		}
		k.started++
	}
	return nil
}

// Stop stops the running plug-ins in reverse order. It stops all of them, even
// when some return errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var all error
	for k.started > 0 {
		k.started--
		i := k.instances[k.started]
		if err := i.plugin.Stop(ctx); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "kernel: stop %s", i.id))
		}
	}
	return all
}

// order returns the descriptors of the plug-ins, sorted so that each one follows
// those it lists in After. IDs in After that are not selected are ignored.
func order(ids []ID) ([]Descriptor, error) {
	selected, err := selectDescriptors(ids)
	if err != nil {
		return nil, err
	}
	var ordered []Descriptor
	done := map[ID]bool{}
	for len(ordered) < len(selected) {
		ready := lo.Filter(selected, func(d Descriptor, _ int) bool {
			return !done[d.ID] && lo.EveryBy(d.After, func(a ID) bool {
				return done[a] || !lo.ContainsBy(selected, func(s Descriptor) bool { return s.ID == a })
			})
		})
		if len(ready) == 0 {
			return nil, ErrCycle
		}
		for _, d := range ready {
			done[d.ID] = true
		}
		ordered = append(ordered, ready...)
	}
	return ordered, nil
}

func selectDescriptors(ids []ID) ([]Descriptor, error) {
	var found []Descriptor
	for _, id := range lo.Uniq(ids) {
		d, ok := plugins.Get(id)
		if !ok {
			return nil, errors.Wrapf(ErrUnknownPlugin, "%s", id)
		}
		found = append(found, d)
	}
	return found, nil
}
