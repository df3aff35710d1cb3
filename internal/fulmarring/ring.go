// Package fulmarring joins two duties by a bounded ring of typed events.
//
// Usage:
//
//	ring := fulmarring.New[Event](1024)
//	if !ring.Offer(event) { /* full: refuse and count */ }
//	for event := range ring.Events() { ... }
package fulmarring

import "sync"

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	events chan T
	closed chan struct{}
	once   sync.Once
}

// New returns a ring that holds at most capacity events.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{events: make(chan T, capacity), closed: make(chan struct{})}
}

// Offer adds an event, or returns false when the ring is full or closed.
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

// Put adds an event and waits for room; it returns false when the ring is closed.
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

// Events returns the reading end.
func (r *Ring[T]) Events() <-chan T { return r.events }

// Closed returns a channel that is closed by Close.
func (r *Ring[T]) Closed() <-chan struct{} { return r.closed }

// Close makes every later Offer and Put fail. Events already held stay readable.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.closed) }) }

func (r *Ring[T]) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}
