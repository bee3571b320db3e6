package dogwoodkernel

import (
	"fmt"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
)

// PanicError is a panic of a function that Recovered called.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the panic's value.
func (panicError *PanicError) Error() string {
	return fmt.Sprintf("panic: %v", panicError.Value)
}

// Recovered calls a function and returns its panic as a *PanicError. A panic in a goroutine that nothing recovers
// ends the process, and with it the work of all other callers.
func Recovered(function func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{Value: value, Stack: debug.Stack()}
		}
	}()
	return function()
}

// LogPanic calls a function, logs its panic as that of the named task, and reports whether it panicked.
func LogPanic(logger hclog.Logger, task string, function func(), fields ...any) bool {
	err := Recovered(func() error {
		function()
		return nil
	})
	panicError, panicked := err.(*PanicError) //nolint:errorlint // Recovered does not wrap it
	if panicked {
		fields = append([]any{"task", task, "panic", fmt.Sprint(panicError.Value), "stack", string(panicError.Stack)}, fields...)
		logger.Error("A task panicked.", fields...)
	}
	return panicked
}
