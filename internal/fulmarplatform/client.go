package fulmarplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// maxValueBytes is the size of the largest value in the key-value service. A watch's
// response may hold several values, so that the bound of a response is higher.
const (
	maxValueBytes    = 1 << 20
	maxResponseBytes = 16 * maxValueBytes
	// watchGrace is added to the requested wait to get the timeout of a watch, in milliseconds.
	watchGrace = 2 * fulmarclock.Second
)

// CallCounter counts calls to the platform by operation, the path without its leading slash.
type CallCounter interface {
	CountCall(operation string)
}

// Client calls the platform's services with JSON over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
	timeout fulmarclock.Millis
	calls   CallCounter
}

// NewClient returns a client of the platform at baseURL. timeout bounds each call except Watch.
func NewClient(baseURL string, timeout fulmarclock.Millis, calls CallCounter) *Client {
	dialer := &net.Dialer{Timeout: timeout.Duration(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: timeout.Duration(), Interval: timeout.Duration(), Count: 2,
	}}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32}
	return &Client{baseURL: baseURL, http: &http.Client{Transport: transport}, timeout: timeout, calls: calls}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the entry of a key; an absent key has revision zero.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	var entry Entry
	err := c.call(ctx, http.MethodGet, PathGet+"?key="+url.QueryEscape(key), nil, &entry)
	return entry, wrapUnavailable(PathGet, err)
}

// CompareAndSwap writes value if the key is at revision expected, and returns the new revision.
// If lease is not empty, the key is deleted when that lease ends. The error is a *ConflictError,
// *LeaseLostError, *UnknownOutcomeError or *UnavailableError.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	var response SwapResponse
	request := SwapRequest{Key: key, Expected: expected, Value: value, Lease: lease}
	err := c.call(ctx, http.MethodPost, PathSwap, request, &response)
	switch statusOf(err) {
	case http.StatusConflict:
		return 0, &ConflictError{Key: key, Current: response.Revision}
	case http.StatusGone:
		return 0, &LeaseLostError{Lease: lease}
	}
	if err != nil && !isNotExecuted(err) {
		return 0, &UnknownOutcomeError{Operation: PathSwap, Key: key, Cause: err}
	}
	return response.Revision, wrapUnavailable(PathSwap, err)
}

// Watch waits until a key under prefix changes after revision after, and returns the changes.
// If nothing changes within wait, the service responds without changes; it may shorten the wait.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision, wait fulmarclock.Millis) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + watchGrace).Duration())
	defer cancel()
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatInt(int64(after), 10))
	query.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	var changes Changes
	err := c.call(ctx, http.MethodGet, PathWatch+"?"+query.Encode(), nil, &changes)
	return changes, wrapUnavailable(PathWatch, err)
}

// Grant creates a lease that expires when it has not been renewed for ttl. After an
// *UnknownOutcomeError there may be a lease that nobody renews.
func (c *Client) Grant(ctx context.Context, ttl fulmarclock.Millis) (LeaseID, error) {
	var response LeaseResponse
	err := c.post(ctx, PathGrant, "", LeaseRequest{TTLMillis: int64(ttl)}, &response)
	return response.Lease, err
}

// Renew extends a lease by its time to live, or returns a *LeaseLostError if it has ended.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	err := c.post(ctx, PathRenew, "", LeaseRequest{Lease: lease}, &LeaseResponse{})
	if statusOf(err) == http.StatusGone {
		return &LeaseLostError{Lease: lease}
	}
	return err
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.post(ctx, PathRevoke, "", LeaseRequest{Lease: lease}, &LeaseResponse{})
}

// VMs returns the VM list if it is newer than version; otherwise found is false.
func (c *Client) VMs(ctx context.Context, version int64) (list VMList, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	err = c.call(ctx, http.MethodGet, PathVMs+"?after="+strconv.FormatInt(version, 10), nil, &list)
	if statusOf(err) == http.StatusNotModified {
		return VMList{}, false, nil
	}
	return list, err == nil, wrapUnavailable(PathVMs, err)
}

// Register adds a VM to the VM list of the simulated platform or renews its registration.
func (c *Client) Register(ctx context.Context, vm VM) error {
	return c.post(ctx, PathVMs, "", vm, nil)
}

// Drain asks the platform to drain a VM.
func (c *Client) Drain(ctx context.Context, vm string) error {
	return c.post(ctx, PathDrain, "?id="+url.QueryEscape(vm), nil, nil)
}

// Reboot asks the platform to reboot a drained VM.
func (c *Client) Reboot(ctx context.Context, vm string) error {
	return c.post(ctx, PathReboot, "?id="+url.QueryEscape(vm), nil, nil)
}

// post makes a call that changes something; its errors are those of wrapWriteError.
func (c *Client) post(ctx context.Context, path, query string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	return wrapWriteError(path, c.call(ctx, http.MethodPost, path+query, request, response))
}

// call sends a request and decodes the body of the response, also that of an error status, into response.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	operation, _, _ := strings.Cut(path, "?")
	c.calls.CountCall(strings.TrimPrefix(operation, "/"))
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	return decodeResponse(httpResponse.StatusCode, data, response)
}

// decodeResponse decodes the body into response and returns a *StatusError if the status is not 200.
func decodeResponse(status int, data []byte, response any) error {
	var statusErr error
	if status != http.StatusOK {
		statusErr = &StatusError{Status: status, Body: string(data)}
	}
	if response == nil || len(data) == 0 {
		return statusErr
	}
	if err := json.Unmarshal(data, response); err != nil && statusErr == nil {
		return err
	}
	return statusErr
}

// statusOf returns the HTTP status in err, or zero if there was no response.
func statusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}

// isNotExecuted reports whether a failed write certainly changed nothing: the platform
// responded with an error, or the connection was refused.
func isNotExecuted(err error) bool {
	if statusOf(err) != 0 {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// wrapWriteError wraps the error of an operation that changes something: in an
// *UnavailableError if the platform certainly changed nothing, otherwise in an
// *UnknownOutcomeError.
func wrapWriteError(operation string, err error) error {
	if err == nil || isNotExecuted(err) {
		return wrapUnavailable(operation, err)
	}
	return &UnknownOutcomeError{Operation: operation, Cause: err}
}

// wrapUnavailable wraps the error of an operation in an *UnavailableError; nil stays nil.
func wrapUnavailable(operation string, err error) error {
	if err == nil {
		return nil
	}
	return &UnavailableError{Operation: operation, Cause: err}
}
