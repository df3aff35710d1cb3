package fulmarjob

// Authority identifies the sender of a command about a VM and bounds when it may be sent.
type Authority struct {
	// Holder is the name of the member that sends the command.
	Holder string
	// Token is the fencing token of its ownership.
	Token int64
	// IsValid reports whether the ownership is still certain to last. It is called once the
	// connection is ready, right before the command is written.
	IsValid func() bool
}

// ExpiredAuthorityError means that a command was not sent, as the sender's ownership may have
// expired while the command waited.
type ExpiredAuthorityError struct{ Call string }

// Error returns the call.
func (e *ExpiredAuthorityError) Error() string {
	return e.Call + ": not sent, the ownership may have expired"
}
