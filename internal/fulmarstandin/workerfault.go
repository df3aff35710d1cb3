package fulmarstandin

// Fault is a fault to inject into one request or into all requests of a worker.
type Fault string

// Faults, set for all requests of a worker by SetFault or for one request by its query
// parameter "fault".
const (
	FaultNone Fault = ""
	// FaultFail counts as a run and responds with status 500 at once.
	FaultFail Fault = "fail"
	// FaultUnresponsive reads the request and doesn't run it or respond.
	FaultUnresponsive Fault = "silent"
	// FaultCloseBeforeRun closes the connection before the request runs.
	FaultCloseBeforeRun Fault = "cut-before"
	// FaultCloseAfterRun runs the request and closes the connection without a response.
	FaultCloseAfterRun Fault = "cut-after"
	// FaultTruncated runs the request and closes the connection halfway through the response.
	FaultTruncated Fault = "half"
	// FaultCloseDelimited runs the request and sends a close-delimited response: one without a
	// Content-Length that ends when the connection closes.
	FaultCloseDelimited Fault = "unframed"
	// FaultBusy rejects the request with the outcome not-run.
	FaultBusy Fault = "busy"
)
