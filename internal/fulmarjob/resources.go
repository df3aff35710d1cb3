package fulmarjob

// Resources is an amount of CPU, memory and GPUs.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"c,omitempty"`
	MemoryMB int64 `json:"m,omitempty"`
	GPUs     int64 `json:"g,omitempty"`
}

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.GPUs + other.GPUs}
}

// Sub returns r - other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.GPUs - other.GPUs}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * int64(n), r.MemoryMB * int64(n), r.GPUs * int64(n)}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{min(r.MilliCPU, other.MilliCPU), min(r.MemoryMB, other.MemoryMB), min(r.GPUs, other.GPUs)}
}

// FitsIn reports whether r is at most capacity in every resource.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.GPUs <= capacity.GPUs
}
