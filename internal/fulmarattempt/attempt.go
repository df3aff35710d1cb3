// Package fulmarattempt keeps an attempt of a call that was given up from being sent later, and tells
// whether it may have been sent.
//
// Usage, by the caller:
//
//	attempt := fulmarattempt.New(800*time.Millisecond, mayBegin)
//	result, err := executors.Start(fulmarattempt.NewContext(ctx, attempt), address, id, start)
//	if attempt.GiveUp() {
//		// no executor can get it any more
//	}
//
// and by what sends it:
//
//	attempt := fulmarattempt.Track(ctx)
//	// wait for a connection
//	if err := attempt.Begin(ctx); err != nil {
//		return err
//	}
//	// write
package fulmarattempt

import (
	"context"
	"sync/atomic"
	"time"
)

// state is how far an attempt has come.
type state int32

const (
	// untracked means that what sends the attempt does not tell when it begins.
	untracked state = iota
	pending
	sending
	givenUp
)

// Attempt is one attempt of a call. It is safe for concurrent use.
type Attempt struct {
	state atomic.Int32
	// sendBy is the time by which the attempt must have been written, zero if there is none.
	sendBy   time.Time
	mayBegin func() error
}

// New returns an attempt that must be written within a time; zero sets no bound beside that of the context.
// mayBegin returns an error once the attempt must not be sent any more; nil means that it always may.
func New(within time.Duration, mayBegin func() error) *Attempt {
	a := &Attempt{mayBegin: mayBegin}
	if within > 0 {
		a.sendBy = time.Now().Add(within)
	}
	return a
}

// contextKey is the key of an attempt in a context.
type contextKey struct{}

// NewContext returns a context that carries an attempt to what sends it.
func NewContext(ctx context.Context, a *Attempt) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// Track returns the attempt that a context carries, or a new one if it carries none. The caller promises to send
// nothing of it before Begin.
func Track(ctx context.Context) *Attempt {
	a, ok := ctx.Value(contextKey{}).(*Attempt)
	if !ok {
		a = New(0, nil)
	}
	a.transition(untracked, pending)
	return a
}

func (a *Attempt) transition(from, to state) bool {
	return a.state.CompareAndSwap(int32(from), int32(to))
}

func (a *Attempt) is(s state) bool { return state(a.state.Load()) == s }

// Begin is called right before the attempt is written, and again before it is written once more. It fails with
// GivenUpError, LateError, the error of ctx or that of mayBegin if the attempt must not be sent any more.
func (a *Attempt) Begin(ctx context.Context) error {
	if err := a.check(ctx); err != nil {
		a.GiveUp()
		return err
	}
	if a.transition(pending, sending) || a.transition(untracked, sending) || a.is(sending) {
		return nil
	}
	return &GivenUpError{}
}

// check returns why an attempt must not begin now.
func (a *Attempt) check(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if left, limited := a.TimeLeft(ctx); limited && left <= 0 {
		return &LateError{}
	}
	if a.mayBegin == nil {
		return nil
	}
	return a.mayBegin()
}

// TimeLeft returns in which time the attempt must be written, negative if that has passed; false means that there is
// no bound. In a process that was paused, the timer of ctx may not have fired yet.
func (a *Attempt) TimeLeft(ctx context.Context) (time.Duration, bool) {
	sendBy := a.sendBy
	if deadline, ok := ctx.Deadline(); ok && (sendBy.IsZero() || deadline.Before(sendBy)) {
		sendBy = deadline
	}
	return time.Until(sendBy), !sendBy.IsZero()
}

// GiveUp keeps the attempt from being sent, and reports whether nothing of it was or will be. It returns false if the
// attempt has begun or is not tracked.
func (a *Attempt) GiveUp() bool { return a.transition(pending, givenUp) || a.is(givenUp) }

// HasBegun reports whether the attempt may have been sent, as far as what sends it has told.
func (a *Attempt) HasBegun() bool { return a.is(sending) }

// GivenUpError means that an attempt was given up before anything of it was sent.
type GivenUpError struct{}

// Error returns a text without details.
func (*GivenUpError) Error() string { return "given up before it was sent" }

// LateError means that the time by which an attempt had to be written has passed.
type LateError struct{}

// Error returns a text without details.
func (*LateError) Error() string { return "waited too long before it was sent" }

// NotSentError means that nothing of a call was sent.
type NotSentError struct {
	Call  string
	Cause error
}

// Error returns the call and the cause.
func (e *NotSentError) Error() string { return e.Call + ": not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
