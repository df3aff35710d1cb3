package fulmarfront

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarkey"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

const (
	// maxBodyBytes bounds the request body of a job submission.
	maxBodyBytes = 1 << 20
	// defaultTimeout applies to requests without a timeout of the caller or the queue.
	defaultTimeout = 3 * fulmarclock.Second
	// responseMargin is the part of a request's timeout that is reserved for sending the response to the caller.
	responseMargin = 100 * fulmarclock.Millis(1)
	// jobIDLength is the length of a job ID in hexadecimal digits.
	jobIDLength = 16
	// ownerChangeRetryAfter is the Retry-After time of responses while the ownership changes.
	ownerChangeRetryAfter = fulmarclock.Second
)

// Metrics counts events by reason and observes latencies.
type Metrics interface {
	Count(name, reason string)
	Observe(name string, wait fulmarclock.Millis)
}

// Codec decodes the callers' request bodies, encodes the response bodies, and names
// the header with the caller's timeout in milliseconds and the scheme of the header with its API key.
type Codec interface {
	DecodeJob(body []byte) (fulmarjob.Specification, error)
	EncodeState(state fulmarjob.State) any
	EncodePending(jobs int) any
	DeadlineHeader() string
	KeyScheme() string
}

// Owner sends requests to the scheduler's owner.
type Owner interface {
	Do(ctx context.Context, q fulmarowner.Request) fulmarowner.Response
}

// Options are the dependencies of a Server. Configuration returns the current
// configuration, or nil while there is none.
type Options struct {
	Clock         fulmarclock.Clock
	Logger        *log.Logger
	Metrics       Metrics
	Codec         Codec
	Owner         Owner
	Configuration func() *AppliedConfiguration
}

// Server handles the callers' HTTP requests.
type Server struct{ options Options }

// New returns a server.
func New(o Options) *Server { return &Server{options: o} }

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Any("/*", s.handle)
	return e
}

// callerRequest is a caller's request in progress.
type callerRequest struct {
	method string
	queue  fulmarjob.Queue
	jobID  string
	// customer is the name of the customer whose API key the request carries; empty for none.
	customer   string
	receivedAt fulmarclock.Millis
}

// isForPending reports whether the request is for the number of a queue's pending jobs.
func (q callerRequest) isForPending() bool { return q.jobID == "" && q.method == http.MethodGet }

func (s *Server) handle(c echo.Context) error {
	r := c.Request()
	configuration := s.options.Configuration()
	if configuration == nil {
		return s.refuse(c, callerRequest{method: r.Method}, http.StatusServiceUnavailable, "no-configuration", ownerChangeRetryAfter)
	}
	queue, found := configuration.QueueFor(hostname(r.Host), r.URL.Path)
	if !found {
		return s.refuse(c, callerRequest{method: r.Method}, http.StatusNotFound, "no-queue", 0)
	}
	request := callerRequest{method: r.Method, queue: queue, jobID: r.URL.Path[len(queue.Prefix):], receivedAt: s.options.Clock.Now()}
	if !request.isForPending() && !isJobID(request.jobID) {
		return s.refuse(c, request, http.StatusNotFound, "no-such-path", 0)
	}
	var err error
	if request.customer, err = configuration.authenticate(queue, r.Header.Values(fulmarkey.Header), s.options.Codec.KeyScheme()); err != nil {
		return s.refuseKey(c, request, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.requestTimeout(r, queue).Duration())
	defer cancel()
	if request.isForPending() {
		return s.countPending(ctx, c, request)
	}
	switch request.method {
	case http.MethodPost:
		return s.submit(ctx, c, request, configuration.Version)
	case http.MethodGet:
		return s.getState(ctx, c, request)
	case http.MethodDelete:
		return s.cancel(ctx, c, request)
	}
	return s.refuse(c, request, http.StatusMethodNotAllowed, "method", 0)
}

func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

func isJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	_, err := strconv.ParseUint(id, 16, 64)
	return err == nil
}

// requestTimeout returns how long a request may take: the caller's timeout, bounded by
// the queue's, less responseMargin, and at least responseMargin.
func (s *Server) requestTimeout(r *http.Request, queue fulmarjob.Queue) fulmarclock.Millis {
	timeout := defaultTimeout
	if queue.Timeout > 0 {
		timeout = queue.Timeout
	}
	wait, err := strconv.ParseInt(r.Header.Get(s.options.Codec.DeadlineHeader()), 10, 64)
	if err == nil && wait > 0 {
		timeout = min(timeout, fulmarclock.Millis(wait))
	}
	return max(timeout-responseMargin, responseMargin)
}

func (s *Server) submit(ctx context.Context, c echo.Context, request callerRequest, version int64) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return s.refuse(c, request, http.StatusBadRequest, "body-unreadable", 0)
	}
	if len(body) > maxBodyBytes {
		return s.refuse(c, request, http.StatusRequestEntityTooLarge, "body-too-large", 0)
	}
	specification, err := s.options.Codec.DecodeJob(body)
	if err == nil {
		err = specification.Validate()
	}
	if err != nil {
		s.options.Logger.Warn("rejected a malformed job", "job", request.jobID, "queue", request.queue.Name, "error", err)
		return s.refuse(c, request, http.StatusBadRequest, "job-malformed", 0)
	}
	response := s.options.Owner.Do(ctx, fulmarowner.Request{
		Kind: fulmarowner.Submit, Job: request.jobID, Queue: request.queue.Name, Customer: request.customer, Specification: specification, ConfigurationVersion: version,
	})
	switch response.Outcome {
	case fulmarowner.Done:
		s.recordSuccess(request, http.StatusOK, response.Reason)
		return c.NoContent(http.StatusOK)
	case fulmarowner.Refused:
		if response.Reason == fulmarowner.ReasonCustomerRemoved {
			return s.refuseUnauthorized(c, request, response.Reason)
		}
		return s.refuse(c, request, http.StatusTooManyRequests, response.Reason, response.RetryAfter)
	case fulmarowner.Forbidden:
		return s.refuse(c, request, http.StatusForbidden, response.Reason, 0)
	case fulmarowner.NotOwner:
		return s.refuse(c, request, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
	}
	return s.refuse(c, request, http.StatusGatewayTimeout, "unknown", ownerChangeRetryAfter)
}

func (s *Server) getState(ctx context.Context, c echo.Context, request callerRequest) error {
	response := s.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.State, Job: request.jobID, Queue: request.queue.Name, Customer: request.customer})
	switch response.Outcome {
	case fulmarowner.Done:
		s.recordSuccess(request, http.StatusOK, string(response.State))
		return c.JSON(http.StatusOK, s.options.Codec.EncodeState(response.State))
	case fulmarowner.UnknownJob:
		return s.refuse(c, request, http.StatusGone, "unknown-job", 0)
	case fulmarowner.Forbidden:
		return s.refuse(c, request, http.StatusForbidden, response.Reason, 0)
	}
	return s.refuse(c, request, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
}

func (s *Server) cancel(ctx context.Context, c echo.Context, request callerRequest) error {
	response := s.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.Cancel, Job: request.jobID, Queue: request.queue.Name, Customer: request.customer})
	switch response.Outcome {
	case fulmarowner.Done:
		s.recordSuccess(request, http.StatusOK, response.Reason)
		return c.NoContent(http.StatusOK)
	case fulmarowner.UnknownJob:
		return s.refuse(c, request, http.StatusGone, "unknown-job", 0)
	case fulmarowner.Forbidden:
		return s.refuse(c, request, http.StatusForbidden, response.Reason, 0)
	case fulmarowner.Unknown:
		return s.refuse(c, request, http.StatusGatewayTimeout, "unknown", ownerChangeRetryAfter)
	}
	return s.refuse(c, request, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
}

func (s *Server) countPending(ctx context.Context, c echo.Context, request callerRequest) error {
	response := s.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.Pending, Queue: request.queue.Name, Customer: request.customer})
	if response.Outcome != fulmarowner.Done {
		return s.refuse(c, request, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
	}
	s.recordSuccess(request, http.StatusOK, "pending")
	return c.JSON(http.StatusOK, s.options.Codec.EncodePending(response.Pending))
}

// refuse responds with an error status, sets Retry-After if retryAfter is positive, and
// counts the refusal by reason.
func (s *Server) refuse(c echo.Context, request callerRequest, status int, reason string, retryAfter fulmarclock.Millis) error {
	s.options.Metrics.Count("refusals", reason)
	fields := []any{"job", request.jobID, "method", request.method, "host", c.Request().Host, "path", c.Request().URL.Path, "status", status, "reason", reason, "retry_after_ms", retryAfter}
	if request.customer != "" {
		fields = append(fields, "customer", request.customer)
	}
	s.options.Logger.Info("request refused", fields...)
	if retryAfter > 0 {
		seconds := (time.Duration(retryAfter)*time.Millisecond + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return c.NoContent(status)
}

// refuseKey refuses a request without a valid key.
func (s *Server) refuseKey(c echo.Context, request callerRequest, err error) error {
	reason := fulmarkey.Malformed
	var refused *fulmarkey.RefusedError
	if errors.As(err, &refused) {
		reason = refused.Reason
	}
	return s.refuseUnauthorized(c, request, string(reason))
}

// refuseUnauthorized responds with 401 and the scheme that the queue requires (RFC 9110, section 15.5.2).
func (s *Server) refuseUnauthorized(c echo.Context, request callerRequest, reason string) error {
	c.Response().Header().Set("WWW-Authenticate", s.options.Codec.KeyScheme())
	return s.refuse(c, request, http.StatusUnauthorized, reason, 0)
}

func (s *Server) recordSuccess(request callerRequest, status int, outcome string) {
	took := s.options.Clock.Now() - request.receivedAt
	s.options.Metrics.Count("requests", request.method+"-"+strconv.Itoa(status))
	s.options.Metrics.Observe("request_"+request.method, took)
	if request.method != http.MethodGet {
		s.options.Logger.Info("request succeeded", "job", request.jobID, "method", request.method, "queue", request.queue.Name, "outcome", outcome, "took_ms", took)
	}
}
