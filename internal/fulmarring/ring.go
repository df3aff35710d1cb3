// Package fulmarring is a bounded queue of typed events between goroutines.
//
// Usage:
//
//	ring := fulmarring.New[Event](1024)
//	if !ring.Offer(event) { /* full or closed: refuse the request */ }
//	for event := range ring.Events() { ... }
package fulmarring

import "sync"

// Ring is a bounded first-in, first-out queue between goroutines.
type Ring[T any] struct {
	events chan T
	closed chan struct{}
	once   sync.Once
}

// New returns an empty ring for at most capacity events.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{events: make(chan T, capacity), closed: make(chan struct{})}
}

// Offer adds an event without waiting. It returns false if the ring is full or closed.
func (r *Ring[T]) Offer(event T) bool {
	if r.isClosed() {
		return false
	}
	select {
	case r.events <- event:
		return true
	default:
		return false
	}
}

// Put adds an event and waits while the ring is full. It returns false if the ring is closed.
func (r *Ring[T]) Put(event T) bool {
	if r.isClosed() {
		return false
	}
	select {
	case r.events <- event:
		return true
	case <-r.closed:
		return false
	}
}

// Events returns the channel to receive events from. Close does not close it; see Closed.
func (r *Ring[T]) Events() <-chan T { return r.events }

// Closed returns a channel that Close closes.
func (r *Ring[T]) Closed() <-chan struct{} { return r.closed }

// Close makes later calls of Offer and Put return false. Events in the ring can still be received.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.closed) }) }

func (r *Ring[T]) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}
