package fulmarfront

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarkey"
)

// AppliedConfiguration is a configuration with the index of its customers' API keys.
type AppliedConfiguration struct {
	*fulmarjob.Configuration
	// keys is nil if the configuration has no customers.
	keys *fulmarkey.Index
}

// NewAppliedConfiguration builds the index of a configuration. This takes milliseconds with thousands of keys, so it
// is done once for each configuration and not for each request.
func NewAppliedConfiguration(configuration *fulmarjob.Configuration) *AppliedConfiguration {
	a := &AppliedConfiguration{Configuration: configuration}
	if configuration.HasCustomers {
		a.keys = fulmarkey.NewIndex(configuration.Customers)
	}
	return a
}

// authenticate returns the name of the customer that sends a request to a queue with the given values of the
// Authorization header. It is empty if the configuration has no customers, and for a request without the header to a
// queue that allows it. It fails with fulmarkey.RefusedError.
func (a *AppliedConfiguration) authenticate(queue fulmarjob.Queue, header []string, scheme string) (customer string, err error) {
	if a.keys == nil || len(header) == 0 && queue.AllowAnonymous {
		return "", nil
	}
	return a.keys.Authenticate(header, scheme)
}
