package fulmarfront

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarkey"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// ExplainHandler returns the HTTP handler of fulmarapi.ExplainPath, which shows operators where a job would
// go. It must be reached by operators only: it checks no permission, and any job may be asked about.
func (s *Server) ExplainHandler() http.Handler {
	e := echo.New()
	e.POST(fulmarapi.ExplainPath, s.explain)
	return e
}

func (s *Server) explain(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), defaultTimeout.Duration())
	defer cancel()
	explanation, err := s.explanationOf(ctx, c.Request())
	if err == nil {
		return c.JSON(http.StatusOK, explanation)
	}
	var refused *fulmarapi.OperatorError
	if !errors.As(err, &refused) {
		refused = &fulmarapi.OperatorError{Kind: fulmarapi.KindUnavailable, Detail: err.Error()}
	}
	return c.JSON(statusOfKind(refused.Kind), refused)
}

// statusOfKind returns the HTTP status of an error.
func statusOfKind(kind string) int {
	switch kind {
	case fulmarapi.KindBadRequest, fulmarapi.KindMalformedJob:
		return http.StatusBadRequest
	case fulmarapi.KindUnknownQueue, fulmarapi.KindUnknownCustomer, fulmarapi.KindUnknownJob:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// explanationOf asks the owner for the explanation that a request is for. It fails with
// fulmarapi.OperatorError.
func (s *Server) explanationOf(ctx context.Context, r *http.Request) (*fulmarapi.Explanation, error) {
	asked, err := decodeExplainRequest(r)
	if err != nil {
		return nil, err
	}
	configuration := s.options.Configuration()
	if configuration == nil {
		return nil, operatorError(fulmarapi.KindUnavailable, "the member has no configuration yet")
	}
	request, err := s.ownerRequest(configuration, asked, r.Header.Values(fulmarkey.Header))
	if err != nil {
		return nil, err
	}
	explanation, err := explanationIn(s.options.Owner.Do(ctx, request))
	if err != nil {
		return nil, err
	}
	isOther := request.Queue != "" && explanation.Queue != request.Queue || request.Customer != "" && explanation.Customer != request.Customer
	if request.Job != "" && isOther {
		return nil, operatorError(fulmarapi.KindUnknownJob, "the job is of another queue or customer than asked for")
	}
	return explanation, nil
}

func operatorError(kind, detail string) error {
	return &fulmarapi.OperatorError{Kind: kind, Detail: detail}
}

// decodeExplainRequest decodes and checks the body of a request.
func decodeExplainRequest(r *http.Request) (asked fulmarapi.ExplainRequest, err error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*maxBodyBytes))
	if err != nil {
		return asked, operatorError(fulmarapi.KindBadRequest, "the body is incomplete")
	}
	if err := json.Unmarshal(body, &asked); err != nil {
		return asked, operatorError(fulmarapi.KindBadRequest, "the body is no valid request: "+err.Error())
	}
	switch {
	case (asked.Job == "") == (len(asked.Specification) == 0):
		return asked, operatorError(fulmarapi.KindBadRequest, "exactly one of job and specification is needed")
	case len(asked.Specification) > maxBodyBytes:
		return asked, operatorError(fulmarapi.KindMalformedJob, "the specification is too large")
	case asked.Job != "" && !isJobID(asked.Job):
		return asked, operatorError(fulmarapi.KindBadRequest, "a job's ID has 16 hexadecimal digits")
	}
	return asked, nil
}

// ownerRequest returns the request to the owner for what an operator has asked. A known job has its own queue
// and customer, so that those of the request may be left out.
func (s *Server) ownerRequest(configuration *AppliedConfiguration, asked fulmarapi.ExplainRequest, header []string) (request fulmarowner.Request, err error) {
	request = fulmarowner.Request{Kind: fulmarowner.Explain, Job: asked.Job, ConfigurationVersion: configuration.Version}
	var queue fulmarjob.Queue
	if isNamed := asked.Queue != "" || asked.Host != "" || asked.Path != ""; isNamed || asked.Job == "" {
		var found bool
		if queue, found = askedQueue(configuration, asked); !found {
			return request, operatorError(fulmarapi.KindUnknownQueue, "the configuration has no such queue")
		}
		request.Queue = queue.Name
	}
	if isNamed := asked.Customer != "" || len(header) > 0; isNamed || asked.Job == "" {
		if request.Customer, err = askedCustomer(configuration, queue, asked.Customer, header); err != nil {
			return request, err
		}
	}
	if asked.Job != "" {
		return request, nil
	}
	if request.Specification, err = s.options.Codec.DecodeJob(asked.Specification); err == nil {
		err = request.Specification.Validate()
	}
	if err != nil {
		return request, operatorError(fulmarapi.KindMalformedJob, err.Error())
	}
	return request, nil
}

// askedQueue returns the queue that a request names, or that its host and path select.
func askedQueue(configuration *AppliedConfiguration, asked fulmarapi.ExplainRequest) (fulmarjob.Queue, bool) {
	if asked.Queue != "" {
		return configuration.QueueByName(asked.Queue)
	}
	return configuration.QueueFor(hostname(asked.Host), asked.Path)
}

// askedCustomer returns the customer with a name, or with the key in the values of the Authorization header.
// Its errors never contain a key.
func askedCustomer(configuration *AppliedConfiguration, queue fulmarjob.Queue, name string, header []string) (string, error) {
	switch {
	case name != "" && len(header) > 0:
		return "", operatorError(fulmarapi.KindBadRequest, "either a customer or its API key is needed, not both")
	case name != "":
		if _, found := configuration.CustomerByName(name); !found {
			return "", operatorError(fulmarapi.KindUnknownCustomer, "the configuration has no such customer")
		}
		return name, nil
	case len(header) > 0 && configuration.keys == nil:
		return "", operatorError(fulmarapi.KindUnknownCustomer, "the configuration has no customers")
	}
	customer, err := configuration.authenticate(queue, header, fulmarapi.ExplainKeyScheme)
	var refused *fulmarkey.RefusedError
	if errors.As(err, &refused) {
		return "", operatorError(fulmarapi.KindUnknownCustomer, "the queue needs a customer or its API key: "+string(refused.Reason))
	}
	return customer, err
}

// explanationIn returns the explanation in a response of the owner.
func explanationIn(response fulmarowner.Response) (*fulmarapi.Explanation, error) {
	switch response.Outcome {
	case fulmarowner.Done:
		if response.Explanation != nil {
			return response.Explanation, nil
		}
		return nil, operatorError(fulmarapi.KindUnavailable, "the owner has sent no explanation")
	case fulmarowner.UnknownJob:
		return nil, operatorError(fulmarapi.KindUnknownJob, "the owner knows no such job")
	case fulmarowner.Refused:
		return nil, refusalError(response.Reason)
	}
	return nil, operatorError(fulmarapi.KindNoOwner, "no owner of the scheduler has responded")
}

// refusalError returns the error for a request that the owner has refused.
func refusalError(reason string) error {
	switch reason {
	case fulmarowner.ReasonQueueRemoved:
		return operatorError(fulmarapi.KindUnknownQueue, "the owner's configuration has no such queue")
	case fulmarowner.ReasonCustomerRemoved:
		return operatorError(fulmarapi.KindUnknownCustomer, "the owner's configuration has no such customer")
	}
	return operatorError(fulmarapi.KindUnavailable, "the owner refused the request: "+reason)
}
