package fulmarfront

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

const (
	// maxBodyBytes bounds the request body of a job submission.
	maxBodyBytes = 1 << 20
	// defaultTimeout applies to requests without a timeout of the caller or the queue.
	defaultTimeout = 3 * fulmarclock.Second
	// responseMargin is the part of a request's timeout that is reserved for the response's way to the caller.
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
// the header with the caller's timeout in milliseconds.
type Codec interface {
	DecodeJob(body []byte) (fulmarjob.Specification, error)
	EncodeState(state fulmarjob.State) any
	EncodePending(jobs int) any
	DeadlineHeader() string
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
	Configuration func() *fulmarjob.Configuration
}

// Server handles the callers' HTTP requests.
type Server struct{ options Options }

// New returns a server.
func New(o Options) *Server { return &Server{options: o} }

// Handler returns the HTTP handler of the API.
func (f *Server) Handler() http.Handler {
	e := echo.New()
	e.Any("/*", f.handle)
	return e
}

// callerRequest is a caller's request in progress.
type callerRequest struct {
	method     string
	queue      fulmarjob.Queue
	jobID      string
	receivedAt fulmarclock.Millis
}

func (f *Server) handle(c echo.Context) error {
	r := c.Request()
	configuration := f.options.Configuration()
	if configuration == nil {
		return f.refuse(c, callerRequest{method: r.Method}, http.StatusServiceUnavailable, "no-configuration", ownerChangeRetryAfter)
	}
	queue, found := configuration.QueueFor(hostname(r.Host), r.URL.Path)
	if !found {
		return f.refuse(c, callerRequest{method: r.Method}, http.StatusNotFound, "no-queue", 0)
	}
	k := callerRequest{method: r.Method, queue: queue, jobID: r.URL.Path[len(queue.Prefix):], receivedAt: f.options.Clock.Now()}
	ctx, cancel := context.WithTimeout(r.Context(), f.requestTimeout(r, queue).Duration())
	defer cancel()
	if k.jobID == "" && k.method == http.MethodGet {
		return f.countPending(ctx, c, k)
	}
	if !isJobID(k.jobID) {
		return f.refuse(c, k, http.StatusNotFound, "no-such-path", 0)
	}
	switch k.method {
	case http.MethodPost:
		return f.submit(ctx, c, k, configuration.Version)
	case http.MethodGet:
		return f.getState(ctx, c, k)
	case http.MethodDelete:
		return f.cancel(ctx, c, k)
	}
	return f.refuse(c, k, http.StatusMethodNotAllowed, "method", 0)
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
func (f *Server) requestTimeout(r *http.Request, queue fulmarjob.Queue) fulmarclock.Millis {
	timeout := defaultTimeout
	if queue.Timeout > 0 {
		timeout = queue.Timeout
	}
	wait, err := strconv.ParseInt(r.Header.Get(f.options.Codec.DeadlineHeader()), 10, 64)
	if err == nil && wait > 0 {
		timeout = min(timeout, fulmarclock.Millis(wait))
	}
	return max(timeout-responseMargin, responseMargin)
}

func (f *Server) submit(ctx context.Context, c echo.Context, k callerRequest, version int64) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return f.refuse(c, k, http.StatusBadRequest, "body-unreadable", 0)
	}
	if len(body) > maxBodyBytes {
		return f.refuse(c, k, http.StatusRequestEntityTooLarge, "body-too-large", 0)
	}
	specification, err := f.options.Codec.DecodeJob(body)
	if err == nil {
		err = specification.Validate()
	}
	if err != nil {
		f.options.Logger.Warn("rejected a malformed job", "job", k.jobID, "queue", k.queue.Name, "error", err)
		return f.refuse(c, k, http.StatusBadRequest, "job-malformed", 0)
	}
	response := f.options.Owner.Do(ctx, fulmarowner.Request{
		Kind: fulmarowner.Submit, Job: k.jobID, Queue: k.queue.Name, Specification: specification, ConfigurationVersion: version,
	})
	switch response.Outcome {
	case fulmarowner.Done:
		f.recordSuccess(k, http.StatusOK, response.Reason)
		return c.NoContent(http.StatusOK)
	case fulmarowner.Refused:
		return f.refuse(c, k, http.StatusTooManyRequests, response.Reason, response.RetryAfter)
	case fulmarowner.NotOwner:
		return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
	}
	return f.refuse(c, k, http.StatusGatewayTimeout, "unknown", ownerChangeRetryAfter)
}

func (f *Server) getState(ctx context.Context, c echo.Context, k callerRequest) error {
	response := f.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.State, Job: k.jobID, Queue: k.queue.Name})
	switch response.Outcome {
	case fulmarowner.Done:
		f.recordSuccess(k, http.StatusOK, string(response.State))
		return c.JSON(http.StatusOK, f.options.Codec.EncodeState(response.State))
	case fulmarowner.UnknownJob:
		return f.refuse(c, k, http.StatusGone, "unknown-job", 0)
	}
	return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
}

func (f *Server) cancel(ctx context.Context, c echo.Context, k callerRequest) error {
	response := f.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.Cancel, Job: k.jobID, Queue: k.queue.Name})
	switch response.Outcome {
	case fulmarowner.Done:
		f.recordSuccess(k, http.StatusOK, response.Reason)
		return c.NoContent(http.StatusOK)
	case fulmarowner.UnknownJob:
		return f.refuse(c, k, http.StatusGone, "unknown-job", 0)
	case fulmarowner.Unknown:
		return f.refuse(c, k, http.StatusGatewayTimeout, "unknown", ownerChangeRetryAfter)
	}
	return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
}

func (f *Server) countPending(ctx context.Context, c echo.Context, k callerRequest) error {
	response := f.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.Pending, Queue: k.queue.Name})
	if response.Outcome != fulmarowner.Done {
		return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerChangeRetryAfter)
	}
	f.recordSuccess(k, http.StatusOK, "pending")
	return c.JSON(http.StatusOK, f.options.Codec.EncodePending(response.Pending))
}

// refuse responds with an error status, sets Retry-After if retryAfter is positive, and
// counts the refusal by reason.
func (f *Server) refuse(c echo.Context, k callerRequest, status int, reason string, retryAfter fulmarclock.Millis) error {
	f.options.Metrics.Count("refusals", reason)
	f.options.Logger.Info("request refused", "job", k.jobID, "method", k.method, "host", c.Request().Host, "path", c.Request().URL.Path, "status", status, "reason", reason, "retry_after_ms", retryAfter)
	if retryAfter > 0 {
		seconds := (time.Duration(retryAfter)*time.Millisecond + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return c.NoContent(status)
}

func (f *Server) recordSuccess(k callerRequest, status int, outcome string) {
	took := f.options.Clock.Now() - k.receivedAt
	f.options.Metrics.Count("requests", k.method+"-"+strconv.Itoa(status))
	f.options.Metrics.Observe("request_"+k.method, took)
	if k.method != http.MethodGet {
		f.options.Logger.Info("request answered", "job", k.jobID, "method", k.method, "queue", k.queue.Name, "outcome", outcome, "took_ms", took)
	}
}
