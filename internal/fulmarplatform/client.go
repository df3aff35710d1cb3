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

// maxValueBytes is the largest value of the key-value service in bytes; answers of a watch may hold several.
const (
	maxValueBytes  = 1 << 20
	maxResponseBytes = 16 * maxValueBytes
	// watchGrace is how much longer than the service's own wait a watch may take, in milliseconds.
	watchGrace = 2 * fulmarclock.Second
)

// CallCounter counts calls by operation.
type CallCounter interface {
	CountCall(operation string)
}

// Client calls the platform by JSON over HTTP.
type Client struct {
	baseURL  string
	http  *http.Client
	timeout fulmarclock.Millis
	calls CallCounter
}

// NewClient returns a client of the platform at the base URL; limit bounds each call but a watch.
func NewClient(base string, limit fulmarclock.Millis, calls CallCounter) *Client {
	dialer := &net.Dialer{Timeout: limit.Duration(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: limit.Duration(), Interval: limit.Duration(), Count: 2,
	}}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32}
	return &Client{baseURL: base, http: &http.Client{Transport: transport}, timeout: limit, calls: calls}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a key; an absent key has revision zero.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	var entry Entry
	err := c.call(ctx, http.MethodGet, PathGet+"?key="+url.QueryEscape(key), nil, &entry)
	return entry, wrapUnavailable(PathGet, err)
}

// CompareAndSwap writes value if the key is at revision expected; lease, when set, removes the key when it ends.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	var reply SwapReply
	request := SwapRequest{Key: key, Expected: expected, Value: value, Lease: lease}
	err := c.call(ctx, http.MethodPost, PathSwap, request, &reply)
	switch statusOf(err) {
	case http.StatusConflict:
		return 0, &ConflictError{Key: key, Current: reply.Revision}
	case http.StatusGone:
		return 0, &LeaseLostError{Lease: lease}
	}
	if err != nil && !isNotExecuted(err) {
		return 0, &UnknownError{Key: key, Cause: err}
	}
	return reply.Revision, wrapUnavailable(PathSwap, err)
}

// Watch waits until a key under prefix has changed after a revision and returns the changes.
// The service answers without changes after its own longest wait.
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

// Grant makes a lease that ends when it has not been renewed for ttl.
func (c *Client) Grant(ctx context.Context, ttl fulmarclock.Millis) (LeaseID, error) {
	var reply LeaseReply
	err := c.callLease(ctx, PathGrant, LeaseRequest{TTLMillis: int64(ttl)}, &reply)
	return reply.Lease, err
}

// Renew prolongs a lease; a *LeaseLostError says that it has ended.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	err := c.callLease(ctx, PathRenew, LeaseRequest{Lease: lease}, &LeaseReply{})
	if statusOf(err) == http.StatusGone {
		return &LeaseLostError{Lease: lease}
	}
	return err
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.callLease(ctx, PathRevoke, LeaseRequest{Lease: lease}, &LeaseReply{})
}

func (c *Client) callLease(ctx context.Context, path string, request LeaseRequest, reply *LeaseReply) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	return wrapUnavailable(path, c.call(ctx, http.MethodPost, path, request, reply))
}

// VMs returns the VM list if it is newer than version; found is false when it is not.
func (c *Client) VMs(ctx context.Context, version int64) (list VMList, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	err = c.call(ctx, http.MethodGet, PathVMs+"?after="+strconv.FormatInt(version, 10), nil, &list)
	if statusOf(err) == http.StatusNotModified {
		return VMList{}, false, nil
	}
	return list, err == nil, wrapUnavailable(PathVMs, err)
}

// Register adds a VM to the stand-in's list or renews its line.
func (c *Client) Register(ctx context.Context, vm VM) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	return wrapUnavailable(PathVMs, c.call(ctx, http.MethodPost, PathVMs, vm, nil))
}

// Drain asks the platform to let a VM leave.
func (c *Client) Drain(ctx context.Context, vm string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	return wrapUnavailable(PathDrain, c.call(ctx, http.MethodPost, PathDrain+"?id="+url.QueryEscape(vm), nil, nil))
}

// Reboot asks the platform to reboot a drained VM.
func (c *Client) Reboot(ctx context.Context, vm string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	return wrapUnavailable(PathReboot, c.call(ctx, http.MethodPost, PathReboot+"?id="+url.QueryEscape(vm), nil, nil))
}

func (c *Client) call(ctx context.Context, method, path string, request, reply any) error {
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
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	return decodeResponse(response.StatusCode, data, reply)
}

func decodeResponse(status int, data []byte, reply any) error {
	var failure error
	if status != http.StatusOK {
		failure = &StatusError{Status: status, Body: string(data)}
	}
	if reply == nil || len(data) == 0 {
		return failure
	}
	if err := json.Unmarshal(data, reply); err != nil && failure == nil {
		return err
	}
	return failure
}

func statusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}

// isNotExecuted tells whether a failed write surely changed nothing.
func isNotExecuted(err error) bool {
	if statusOf(err) != 0 {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func wrapUnavailable(operation string, err error) error {
	if err == nil {
		return nil
	}
	return &UnavailableError{Operation: operation, Cause: err}
}
