package fulmarapi

// PoolReport is the state of a pool on one member.
type PoolReport struct {
	Pool    string `json:"pool"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	// AllowedSlots is the number of slots that this member may use at a time.
	AllowedSlots int `json:"allowed"`
	// MeanMillis is the mean time of a request on a worker, in milliseconds.
	MeanMillis float64        `json:"mean_ms"`
	Workers    []WorkerReport `json:"workers"`
}

// WorkerReport is the state of a worker on one member.
type WorkerReport struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	Running int    `json:"running"`
	Health  string `json:"health"`
	// Draining means that the worker is draining: it gets no new requests.
	Draining bool `json:"leaving"`
}

// MemberReport is the state of a member as the reporting member knows it.
type MemberReport struct {
	Name            string `json:"name"`
	Region          string `json:"region"`
	DataCentre      string `json:"data_centre"`
	PeerAddress     string `json:"peers"`
	OperatorAddress string `json:"operators"`
	Generation      int64  `json:"generation"`
	// AgeMillis is the time since the member's last digest, in milliseconds; -1 means none yet.
	AgeMillis int64 `json:"age_ms"`
}

// Status is the state of one member.
type Status struct {
	Member     string `json:"member"`
	Ready      bool   `json:"ready"`
	Generation int64  `json:"generation"`
	// ViewAgeMillis is the time since the platform's last response to a watch, in milliseconds.
	ViewAgeMillis int64          `json:"view_age_ms"`
	Members       []MemberReport `json:"members"`
	Pools         []PoolReport   `json:"pools"`
}
