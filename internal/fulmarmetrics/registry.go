package fulmarmetrics

import "sync"

// registry holds instruments that are created at their first use. The zero value is empty.
type registry[K comparable, V any] struct {
	mu          sync.RWMutex
	instruments map[K]V
}

// get returns the instrument of a key. create is called once for each key.
func (r *registry[K, V]) get(key K, create func() V) V {
	r.mu.RLock()
	instrument, found := r.instruments[key]
	r.mu.RUnlock()
	if found {
		return instrument
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if instrument, found = r.instruments[key]; found {
		return instrument
	}
	if r.instruments == nil {
		r.instruments = map[K]V{}
	}
	instrument = create()
	r.instruments[key] = instrument
	return instrument
}
