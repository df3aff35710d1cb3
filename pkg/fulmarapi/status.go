package fulmarapi

// PoolReport is one pool's state on one member.
type PoolReport struct {
	Pool       string         `json:"pool"`
	Running    int            `json:"running"`
	Waiting    int            `json:"waiting"`
	Slots      int            `json:"slots"`
	Allowed    int            `json:"allowed"`
	MeanMillis float64        `json:"mean_ms"`
	Workers    []WorkerReport `json:"workers"`
}

// WorkerReport is one worker's state on one member.
type WorkerReport struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	Running int    `json:"running"`
	Health  string `json:"health"`
	Leaving bool   `json:"leaving"`
}

// MemberReport is one member as another one sees it.
type MemberReport struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Peers      string `json:"peers"`
	Operators  string `json:"operators"`
	Generation int64  `json:"generation"`
	// AgeMillis is the time since its last message, in milliseconds; -1 means none yet.
	AgeMillis int64 `json:"age_ms"`
}

// Status is one member's whole state.
type Status struct {
	Member     string         `json:"member"`
	Ready      bool           `json:"ready"`
	Generation int64          `json:"generation"`
	ViewMillis int64          `json:"view_age_ms"`
	Members    []MemberReport `json:"members"`
	Pools      []PoolReport   `json:"pools"`
}
