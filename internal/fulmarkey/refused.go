package fulmarkey

// Reason is why a request's key is refused. It is the reason in logs and metrics.
type Reason string

// The reasons.
const (
	Missing   Reason = "key-missing"
	Malformed Reason = "key-malformed"
	Unknown   Reason = "key-unknown"
)

// RefusedError means that a request carries no valid key. It holds nothing of the request's header.
type RefusedError struct{ Reason Reason }

// Error returns the reason.
func (e *RefusedError) Error() string { return "API key refused: " + string(e.Reason) }
