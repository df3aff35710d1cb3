package fulmarapi

import "encoding/json"

// VMReport is one VM with the pool that it is assigned to.
type VMReport struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	State      string `json:"state"`
	Pool       string `json:"pool"`
	Epoch      int64  `json:"epoch"`
}

// Config is the newest configuration that a member knows.
type Config struct {
	Generation int64           `json:"generation"`
	Document   json.RawMessage `json:"document"`
	History    []ConfigChange  `json:"history"`
}

// ConfigChange records the author, time and reason of a generation.
type ConfigChange struct {
	Generation int64  `json:"generation"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	UnixMillis int64  `json:"unix_ms"`
}

// ConfigRequest is the body of a request for a new generation.
type ConfigRequest struct {
	// Generation is the generation that the change is based on; the request fails if it is not the current one.
	Generation int64 `json:"generation"`
	// File is the name of the document in error messages, Text its content, JSON with comments.
	File   string `json:"file"`
	Text   string `json:"text"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// ConfigAccepted is the response to a ConfigRequest: the generation that was committed.
type ConfigAccepted struct {
	Generation int64 `json:"generation"`
}

// Kinds of errors of an ExplainRequest.
const (
	KindBadRequest   = "bad-request"
	KindUnknownQueue = "unknown-queue"
	// KindUnknownCustomer means that there is no such customer, that no customer has the API key, or that the
	// queue needs one of both.
	KindUnknownCustomer = "unknown-customer"
	KindUnknownJob      = "unknown-job"
	KindMalformedJob    = "malformed-job"
	// KindNoOwner means that no owner of the scheduler has responded.
	KindNoOwner     = "no-owner"
	KindUnavailable = "unavailable"
)

// OperatorError is the body of every error response to an operator.
type OperatorError struct {
	// Kind is unauthorized, bad-request, bad-document, old-generation, unknown or unavailable, or one of
	// the Kind constants above.
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field,omitempty"`
	// Generation is the current generation if Kind is old-generation.
	Generation int64 `json:"generation,omitempty"`
}

// Error returns the kind and the detail.
func (e *OperatorError) Error() string { return e.Kind + ": " + e.Detail }
