package fulmarowner

import (
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// attemptTally counts the attempts of a command until its result is known. It is safe for concurrent use.
type attemptTally struct {
	mu    sync.Mutex
	begun int
	// open is the number of attempts that executors may still execute, as far as is known.
	open int
	// closed means that the result is known and no further attempt may begin.
	closed bool
}

// begin counts an attempt and returns its number; the first one has number 1. It returns false if the
// attempt must not be sent any more.
func (a *attemptTally) begin() (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0, false
	}
	a.begun++
	a.open++
	return a.begun, true
}

// end records the result of an attempt. One that has an answer, or was never sent, can't be executed later.
func (a *attemptTally) end(result fulmarjob.CommandResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if result.IsAnswer() || result == fulmarjob.ResultUnreachable {
		a.open--
	}
}

// close ends the count and returns the number of attempts.
func (a *attemptTally) close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.begun
}

// isAnyOpen reports whether an attempt may still be executed.
func (a *attemptTally) isAnyOpen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open > 0
}
