package fulmarplatform

// SwapRequest is the body of a compare-and-swap call.
type SwapRequest struct {
	Key      string   `json:"key"`
	Expected Revision `json:"expected"`
	Value    []byte   `json:"value"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// SwapResponse is the response to a compare-and-swap call; with status 409, Revision is the key's current one.
type SwapResponse struct {
	Revision Revision `json:"revision"`
}

// LeaseRequest is the body of the calls that grant, renew and revoke a lease.
type LeaseRequest struct {
	Lease     LeaseID `json:"lease,omitempty"`
	TTLMillis int64   `json:"ttl_ms,omitempty"`
}

// LeaseResponse is the response to the lease calls.
type LeaseResponse struct {
	Lease LeaseID `json:"lease"`
}

// Paths of the platform's HTTP API.
const (
	PathGet    = "/kv/get"
	PathSwap   = "/kv/swap"
	PathWatch  = "/kv/watch"
	PathGrant  = "/lease/grant"
	PathRenew  = "/lease/renew"
	PathRevoke = "/lease/revoke"
	PathVMs    = "/vms"
	PathDrain  = "/vms/drain"
	PathReboot = "/vms/reboot"
)
