package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// ReasonCustomerRemoved is the reason in refusals of new jobs of a customer that the owner's configuration no longer has.
const ReasonCustomerRemoved = "customer-removed"

// ReasonQueueRemoved is the reason in refusals of new jobs of a queue that the owner's configuration no longer has.
const ReasonQueueRemoved = "queue-removed"

const (
	// reasonOtherCustomer and reasonOtherQueue are the reasons of Forbidden.
	reasonOtherCustomer = "other-customer"
	reasonOtherQueue    = "other-queue"
	// reasonConfigurationBehind and reasonConfigurationAhead mean that the sending member has a newer or an
	// older configuration than the owner, which decide differently on the request.
	reasonConfigurationBehind = "configuration-behind"
	reasonConfigurationAhead  = "configuration-ahead"
)

// customerRules decides by one configuration which jobs a request may use. The member that received the request has
// checked the key by its own configuration, which may be older or newer.
type customerRules struct {
	// configuration is nil until the member has one.
	configuration *fulmarjob.Configuration
	names         map[string]struct{}
}

// newCustomerRules indexes the customers of a configuration by name.
func newCustomerRules(configuration *fulmarjob.Configuration) *customerRules {
	r := &customerRules{configuration: configuration, names: map[string]struct{}{}}
	for _, c := range configuration.Customers {
		r.names[c.Name] = struct{}{}
	}
	return r
}

// refuseNew returns the response to a submission of a new job to a queue, and true, unless its customer may submit it.
func (r *customerRules) refuseNew(request Request, queue fulmarjob.Queue) (Response, bool) {
	if !r.configuration.HasCustomers {
		return Response{}, false
	}
	if request.Customer == "" {
		if queue.AllowAnonymous {
			return Response{}, false
		}
		return Response{Outcome: NotOwner, Reason: reasonConfigurationAhead}, true
	}
	if _, found := r.names[request.Customer]; !found {
		return Response{Outcome: Refused, Reason: ReasonCustomerRemoved}, true
	}
	return Response{}, false
}

// refuseKnown returns the response to a request about a known job, and true, unless the request may use the job. Jobs
// of removed customers stay theirs.
func (r *customerRules) refuseKnown(request Request, origin fulmarsched.JobOrigin) (Response, bool) {
	switch {
	case request.Customer != "":
		return forbidden(reasonOtherCustomer), origin.Customer != "" && origin.Customer != request.Customer
	case r.configuration == nil:
		isPublic := origin.Customer == "" && (origin.Queue == "" || origin.Queue == request.Queue)
		return Response{Outcome: NotOwner, Reason: reasonConfigurationBehind}, !isPublic
	case !r.configuration.HasCustomers:
		return Response{}, false
	}
	return r.refuseAnonymous(request, origin)
}

// refuseAnonymous is refuseKnown for a request without a customer. It may see the jobs of its queue, submit them again
// without effect, and cancel those without a customer.
func (r *customerRules) refuseAnonymous(request Request, origin fulmarsched.JobOrigin) (Response, bool) {
	queue, found := r.configuration.QueueByName(request.Queue)
	if found && !queue.AllowAnonymous {
		return Response{Outcome: NotOwner, Reason: reasonConfigurationAhead}, true
	}
	// The queue of an ended job may be unknown. It is public then only if the job has no customer, as jobs from
	// before the first configuration with customers.
	isOfQueue := origin.Queue == request.Queue || origin.Queue == "" && origin.Customer == ""
	if !isOfQueue {
		return forbidden(reasonOtherQueue), true
	}
	return forbidden(reasonOtherCustomer), request.Kind == Cancel && origin.Customer != ""
}

func forbidden(reason string) Response { return Response{Outcome: Forbidden, Reason: reason} }
