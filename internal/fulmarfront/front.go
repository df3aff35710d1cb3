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
	// maxBodyBytes bounds the body of a job.
	maxBodyBytes = 1 << 20
	// defaultDeadline is how long callers wait who do not say.
	defaultDeadline = 3 * fulmarclock.Second
	// answerMargin is kept of a caller's deadline for the way back.
	answerMargin = 100 * fulmarclock.Millis(1)
	// idLength is the length of a job's ID in hexadecimal digits.
	idLength = 16
	// ownerPause is told to callers while the scheduler changes its owner.
	ownerPause = fulmarclock.Second
)

// Counters counts events by reason and takes latencies.
type Counters interface {
	Count(name, reason string)
	Observe(name string, wait fulmarclock.Millis)
}

// Format translates callers' bodies.
type Format interface {
	Job(body []byte) (fulmarjob.Specification, error)
	State(state fulmarjob.State) any
	Pending(jobs int) any
	DeadlineHeader() string
}

// Owner reaches the owner of the scheduler.
type Owner interface {
	Do(ctx context.Context, q fulmarowner.Request) fulmarowner.Response
}

// Options are the parts of a front.
type Options struct {
	Clock         fulmarclock.Clock
	Logger        *log.Logger
	Counters      Counters
	Format        Format
	Owner         Owner
	Configuration func() *fulmarjob.Configuration
}

// Front answers callers.
type Front struct{ options Options }

// New returns a front.
func New(o Options) *Front { return &Front{options: o} }

// Handler serves the callers' side.
func (f *Front) Handler() http.Handler {
	e := echo.New()
	e.Any("/*", f.serve)
	return e
}

// call is one request of a caller on its way.
type call struct {
	method string
	queue  fulmarjob.Queue
	id     string
	began  fulmarclock.Millis
}

func (f *Front) serve(c echo.Context) error {
	r := c.Request()
	configuration := f.options.Configuration()
	if configuration == nil {
		return f.refuse(c, call{method: r.Method}, http.StatusServiceUnavailable, "no-configuration", ownerPause)
	}
	queue, found := configuration.QueueFor(hostOf(r.Host), r.URL.Path)
	if !found {
		return f.refuse(c, call{method: r.Method}, http.StatusNotFound, "no-queue", 0)
	}
	k := call{method: r.Method, queue: queue, id: r.URL.Path[len(queue.Prefix):], began: f.options.Clock.Now()}
	ctx, cancel := context.WithTimeout(r.Context(), f.deadline(r, queue).Duration())
	defer cancel()
	if k.id == "" && k.method == http.MethodGet {
		return f.pending(ctx, c, k)
	}
	if !isJobID(k.id) {
		return f.refuse(c, k, http.StatusNotFound, "no-such-path", 0)
	}
	switch k.method {
	case http.MethodPost:
		return f.submit(ctx, c, k, configuration.Version)
	case http.MethodGet:
		return f.state(ctx, c, k)
	case http.MethodDelete:
		return f.cancel(ctx, c, k)
	}
	return f.refuse(c, k, http.StatusMethodNotAllowed, "method", 0)
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func isJobID(id string) bool {
	if len(id) != idLength {
		return false
	}
	_, err := strconv.ParseUint(id, 16, 64)
	return err == nil
}

// deadline returns how long a request may take: what its caller says, within the queue's timeout.
func (f *Front) deadline(r *http.Request, queue fulmarjob.Queue) fulmarclock.Millis {
	limit := defaultDeadline
	if queue.Timeout > 0 {
		limit = queue.Timeout
	}
	wait, err := strconv.ParseInt(r.Header.Get(f.options.Format.DeadlineHeader()), 10, 64)
	if err == nil && wait > 0 {
		limit = min(limit, fulmarclock.Millis(wait))
	}
	return max(limit-answerMargin, answerMargin)
}

func (f *Front) submit(ctx context.Context, c echo.Context, k call, version int64) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return f.refuse(c, k, http.StatusBadRequest, "body-unreadable", 0)
	}
	if len(body) > maxBodyBytes {
		return f.refuse(c, k, http.StatusRequestEntityTooLarge, "body-too-large", 0)
	}
	specification, err := f.options.Format.Job(body)
	if err == nil {
		err = specification.Validate()
	}
	if err != nil {
		f.options.Logger.Warn("a job was malformed", "job", k.id, "queue", k.queue.Name, "error", err)
		return f.refuse(c, k, http.StatusBadRequest, "job-malformed", 0)
	}
	reply := f.options.Owner.Do(ctx, fulmarowner.Request{
		Kind: fulmarowner.Submit, Job: k.id, Queue: k.queue.Name, Specification: specification, ConfigurationVersion: version,
	})
	switch reply.Outcome {
	case fulmarowner.Done:
		f.note(k, http.StatusOK, reply.Reason)
		return c.NoContent(http.StatusOK)
	case fulmarowner.Refused:
		return f.refuse(c, k, http.StatusTooManyRequests, reply.Reason, reply.RetryAfter)
	case fulmarowner.NotOwner:
		return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerPause)
	}
	return f.refuse(c, k, http.StatusGatewayTimeout, "unknown", ownerPause)
}

func (f *Front) state(ctx context.Context, c echo.Context, k call) error {
	reply := f.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.State, Job: k.id, Queue: k.queue.Name})
	switch reply.Outcome {
	case fulmarowner.Done:
		f.note(k, http.StatusOK, string(reply.State))
		return c.JSON(http.StatusOK, f.options.Format.State(reply.State))
	case fulmarowner.UnknownJob:
		return f.refuse(c, k, http.StatusGone, "unknown-job", 0)
	}
	return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerPause)
}

func (f *Front) cancel(ctx context.Context, c echo.Context, k call) error {
	reply := f.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.Cancel, Job: k.id, Queue: k.queue.Name})
	switch reply.Outcome {
	case fulmarowner.Done:
		f.note(k, http.StatusOK, reply.Reason)
		return c.NoContent(http.StatusOK)
	case fulmarowner.UnknownJob:
		return f.refuse(c, k, http.StatusGone, "unknown-job", 0)
	case fulmarowner.Unknown:
		return f.refuse(c, k, http.StatusGatewayTimeout, "unknown", ownerPause)
	}
	return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerPause)
}

func (f *Front) pending(ctx context.Context, c echo.Context, k call) error {
	reply := f.options.Owner.Do(ctx, fulmarowner.Request{Kind: fulmarowner.Pending, Queue: k.queue.Name})
	if reply.Outcome != fulmarowner.Done {
		return f.refuse(c, k, http.StatusServiceUnavailable, "no-owner", ownerPause)
	}
	f.note(k, http.StatusOK, "pending")
	return c.JSON(http.StatusOK, f.options.Format.Pending(reply.Pending))
}

// refuse answers without having done what was asked, or without knowing.
func (f *Front) refuse(c echo.Context, k call, status int, reason string, retryAfter fulmarclock.Millis) error {
	f.options.Counters.Count("refusals", reason)
	f.options.Logger.Info("request refused", "job", k.id, "method", k.method, "host", c.Request().Host, "path", c.Request().URL.Path, "status", status, "reason", reason, "retry_after_ms", retryAfter)
	if retryAfter > 0 {
		seconds := (time.Duration(retryAfter)*time.Millisecond + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return c.NoContent(status)
}

func (f *Front) note(k call, status int, outcome string) {
	took := f.options.Clock.Now() - k.began
	f.options.Counters.Count("requests", k.method+"-"+strconv.Itoa(status))
	f.options.Counters.Observe("request_"+k.method, took)
	if k.method != http.MethodGet {
		f.options.Logger.Info("request answered", "job", k.id, "method", k.method, "queue", k.queue.Name, "outcome", outcome, "took_ms", took)
	}
}
