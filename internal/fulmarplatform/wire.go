package fulmarplatform

// SwapRequest is the body of a compare-and-swap call.
type SwapRequest struct {
	Key      string   `json:"key"`
	Expected Revision `json:"expected"`
	Value    []byte   `json:"value"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// SwapReply is the answer to a compare-and-swap call, also with status 409.
type SwapReply struct {
	Revision Revision `json:"revision"`
}

// LeaseRequest is the body of the lease calls.
type LeaseRequest struct {
	Lease     LeaseID `json:"lease,omitempty"`
	TTLMillis int64   `json:"ttl_ms,omitempty"`
}

// LeaseReply is the answer to the lease calls.
type LeaseReply struct {
	Lease LeaseID `json:"lease"`
}

// Paths of the platform's HTTP interface.
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
