package fulmarapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
)

// kindUnknown is the kind of an OperatorError of a change that may have been carried out.
const kindUnknown = "unknown"

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 16 << 20

// Client calls the operator API of one member.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// NewClient returns a client of the member at baseURL. The bearer token may be empty.
func NewClient(baseURL, token string) *Client {
	return &Client{baseURL: baseURL, token: token, http: &http.Client{}}
}

// Status returns the member's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// VMs returns the VM list with the pool that each VM is assigned to.
func (c *Client) VMs(ctx context.Context) ([]VMReport, error) {
	var vms []VMReport
	return vms, c.call(ctx, http.MethodGet, "/v1/vms", nil, &vms)
}

// Config returns the current configuration with its history.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	return config, c.call(ctx, http.MethodGet, "/v1/config", nil, &config)
}

// Apply requests a new generation of the configuration and returns once it is committed.
// A refusal is an *OperatorError. Its kind is unknown if the request may have been sent and
// no response of the member tells its outcome.
func (c *Client) Apply(ctx context.Context, request ConfigRequest) (ConfigAccepted, error) {
	var accepted ConfigAccepted
	return accepted, c.call(ctx, http.MethodPut, "/v1/config", request, &accepted)
}

// Explain returns where a job would go now, from a member of fulmarnoded. The token of the client is the API
// key of the customer; it must be empty if the request names one or a job. A refusal is an *OperatorError.
func (c *Client) Explain(ctx context.Context, request ExplainRequest) (Explanation, error) {
	var explanation Explanation
	return explanation, c.call(ctx, http.MethodPost, ExplainPath, request, &explanation)
}

// call sends a request and decodes the response. A response that is not OK, one that can't be
// decoded, or a failed connection is returned as an *OperatorError.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	httpRequest, err := c.newRequest(ctx, method, path, request)
	if err != nil {
		return err
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return &OperatorError{Kind: kindOfFailure(method, err), Detail: err.Error()}
	}
	defer httpResponse.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if httpResponse.StatusCode != http.StatusOK {
		return decodeError(decoder, method, httpResponse)
	}
	if err := decoder.Decode(response); err != nil {
		return &OperatorError{Kind: kindOfFailure(method, err), Detail: "the response is incomplete: " + err.Error()}
	}
	return nil
}

// newRequest returns a request with a JSON body, or none if body is nil, and the token.
func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

// decodeError returns the error in the body of a response, or one by the status if the body is
// not that of a member.
func decodeError(decoder *json.Decoder, method string, response *http.Response) error {
	operatorError := &OperatorError{}
	if err := decoder.Decode(operatorError); err != nil || operatorError.Kind == "" {
		return &OperatorError{Kind: kindOfStatus(method, response.StatusCode), Detail: response.Status}
	}
	return operatorError
}

// kindOfFailure returns the kind of error of a request without a complete response. A change
// may have been carried out unless the connection was never established.
func kindOfFailure(method string, err error) string {
	var operation *net.OpError
	isDial := errors.As(err, &operation) && operation.Op == "dial"
	if !isChange(method) || isDial {
		return KindUnavailable
	}
	return kindUnknown
}

// kindOfStatus returns the kind of error of a response that no member wrote, such as that of
// a proxy. A proxy that reports an error of the server may have forwarded a change before.
func kindOfStatus(method string, status int) string {
	if !isChange(method) || status < http.StatusInternalServerError {
		return KindUnavailable
	}
	return kindUnknown
}

// isChange reports whether requests with a method change anything.
func isChange(method string) bool { return method == http.MethodPut }
