// Package guard converts panics on bad input into errors.
//
// Data in the store and from other routers is read by every router, and again after each
// restart, so a panic while reading it would end one router after the other. Functions called
// through this package must have no side effects, since a panic may interrupt them half-way.
package guard

import (
	"fmt"
	"runtime/debug"
)

// Panic is the error returned for a function that panicked.
type Panic struct {
	Value any
	Stack []byte
}

// Error implements error. The text includes the stack, since logs print only the error.
func (p *Panic) Error() string { return fmt.Sprintf("panic: %v\n%s", p.Value, p.Stack) }

// Call calls fn and returns its results, or a *Panic error if it panics.
func Call[T any](fn func() (T, error)) (value T, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &Panic{Value: r, Stack: debug.Stack()}
		}
	}()
	return fn()
}
