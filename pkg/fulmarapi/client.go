package fulmarapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// maxResponseBytes bounds an answer of the operators' interface, in bytes.
const maxResponseBytes = 16 << 20

// Client calls the operators' interface of one member.
type Client struct {
	baseURL  string
	token string
	http  *http.Client
}

// NewClient returns a client of the member at a base URL; the token may be empty.
func NewClient(base, token string) *Client {
	return &Client{baseURL: base, token: token, http: &http.Client{}}
}

// Status returns the member's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// VMs returns the VM list with the assignments.
func (c *Client) VMs(ctx context.Context) ([]VMReport, error) {
	var vms []VMReport
	return vms, c.call(ctx, http.MethodGet, "/v1/vms", nil, &vms)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	return config, c.call(ctx, http.MethodGet, "/v1/config", nil, &config)
}

// Apply asks for a new generation and returns once it is committed, or an *OperatorError.
func (c *Client) Apply(ctx context.Context, request ConfigRequest) (ConfigAccepted, error) {
	var accepted ConfigAccepted
	return accepted, c.call(ctx, http.MethodPut, "/v1/config", request, &accepted)
}

func (c *Client) call(ctx context.Context, method, path string, request, reply any) error {
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return &OperatorError{Kind: "unavailable", Detail: err.Error()}
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode == http.StatusOK {
		return decoder.Decode(reply)
	}
	refusal := &OperatorError{Kind: "unavailable", Detail: response.Status}
	_ = decoder.Decode(refusal)
	return refusal
}
