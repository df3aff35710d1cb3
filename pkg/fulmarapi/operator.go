package fulmarapi

import "encoding/json"

// VMReport is one VM's line for operators.
type VMReport struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	State      string `json:"state"`
	Pool       string `json:"pool"`
	Epoch      int64  `json:"epoch"`
}

// Config is the configuration in force, as one member sees it.
type Config struct {
	Generation int64           `json:"generation"`
	Document   json.RawMessage `json:"document"`
	History    []ConfigChange  `json:"history"`
}

// ConfigChange tells who made a generation, when and why.
type ConfigChange struct {
	Generation int64  `json:"generation"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	UnixMillis int64  `json:"unix_ms"`
}

// ConfigRequest asks for a new generation.
type ConfigRequest struct {
	// Generation is the one that the operator read before the change.
	Generation int64  `json:"generation"`
	File       string `json:"file"`
	Text       string `json:"text"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
}

// ConfigAccepted names the generation that a change made.
type ConfigAccepted struct {
	Generation int64 `json:"generation"`
}

// OperatorError is the body of every refusal to an operator.
type OperatorError struct {
	// Kind is unauthorized, bad-request, bad-document, old-generation, unknown or unavailable.
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field,omitempty"`
	// Generation is the one in force, with the kind old-generation.
	Generation int64 `json:"generation,omitempty"`
}

// Error returns kind and detail.
func (e *OperatorError) Error() string { return e.Kind + ": " + e.Detail }
