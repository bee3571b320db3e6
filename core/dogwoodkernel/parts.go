package dogwoodkernel

import "context"

// ValuePart is a part that provides a value of type T to other plug-ins.
type ValuePart[T any] struct {
	Value T
	// OnStop stops the part. It may be nil.
	OnStop func(ctx context.Context) error
}

// Stop calls OnStop if it is set.
func (part *ValuePart[T]) Stop(ctx context.Context) error {
	if part.OnStop == nil {
		return nil
	}
	return part.OnStop(ctx)
}

// ValueOf returns the value that the named plug-in provides.
func ValueOf[T any](kernel *Kernel, name string) (T, error) {
	part, err := PartOf[*ValuePart[T]](kernel, name)
	if err != nil {
		var zero T
		return zero, err
	}
	return part.Value, nil
}

// Needs looks up the values that a plug-in depends on and keeps the first error.
type Needs struct {
	Kernel *Kernel
	// Err is the first error of Need, or nil.
	Err error
}

// Need returns the value that the named plug-in provides. If there is none, it returns a
// zero value and sets needs.Err.
func Need[T any](needs *Needs, name string) T {
	value, err := ValueOf[T](needs.Kernel, name)
	if needs.Err == nil {
		needs.Err = err
	}
	return value
}

// NewPlugin returns a plug-in that provides a T, from kernel settings of type S.
func NewPlugin[S, T any](name string, needs []string, start func(ctx context.Context, kernel *Kernel, settings S) (*ValuePart[T], error)) Plugin {
	return Plugin{
		Name:  name,
		Needs: needs,
		Start: func(ctx context.Context, kernel *Kernel) (Part, error) {
			settings, ok := kernel.Settings.(S)
			if !ok {
				return nil, Error.New("the kernel's settings have the wrong type for plug-in %q", name)
			}
			started, err := start(ctx, kernel, settings)
			if err != nil {
				return nil, err
			}
			return started, nil
		},
	}
}
