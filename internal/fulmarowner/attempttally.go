package fulmarowner

import (
	"context"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// attemptTally counts the attempts of a command that may have been sent, until its result is known. It is safe for
// concurrent use.
type attemptTally struct {
	mu    sync.Mutex
	begun int
	// unsent is the number of attempts of which nothing was sent.
	unsent int
	// open is the number of attempts that executors may still execute, as far as is known.
	open int
	// running holds the attempts without a result, and what cancels them.
	running map[*fulmarattempt.Attempt]context.CancelFunc
	// closed means that the result is known and no further attempt may begin.
	closed bool
}

func newAttemptTally() *attemptTally {
	return &attemptTally{running: map[*fulmarattempt.Attempt]context.CancelFunc{}}
}

// begin counts an attempt and returns its number; the first one has number 1. It returns false if the
// attempt must not be sent any more.
func (a *attemptTally) begin(attempt *fulmarattempt.Attempt, cancel context.CancelFunc) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0, false
	}
	a.begun++
	a.open++
	a.running[attempt] = cancel
	return a.begun, true
}

// end records the result of an attempt. One that has an answer, or was never sent, can't be executed later.
func (a *attemptTally) end(attempt *fulmarattempt.Attempt, result fulmarjob.CommandResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, attempt)
	if result.IsAnswer() || result == fulmarjob.ResultUnreachable {
		a.open--
	}
	if result == fulmarjob.ResultUnreachable {
		a.unsent++
	}
}

// close ends the count: attempts of which nothing was sent so far are given up. It returns the number of those that
// may have been sent, and the result of the command if that of the first answer, or of the last attempt without
// one, is result.
func (a *attemptTally) close(result fulmarjob.CommandResult) (int, fulmarjob.CommandResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	sent := a.begun - a.unsent
	for attempt, cancel := range a.running {
		if attempt.GiveUp() {
			sent--
			cancel()
		}
	}
	switch {
	case result.IsAnswer():
		return max(sent, 1), result
	case sent > 0:
		return sent, fulmarjob.ResultUnknown
	}
	return 1, fulmarjob.ResultUnreachable
}

// isAnyOpen reports whether an attempt may still be executed.
func (a *attemptTally) isAnyOpen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open > 0
}
