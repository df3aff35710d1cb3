package fulmarmember

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// TestCallTimeoutFollowsLatency plays calls to a peer: a negative latency is a call
// without a response in time.
func TestCallTimeoutFollowsLatency(t *testing.T) {
	const noResponse = fulmarclock.Millis(-1)
	cases := []struct {
		name      string
		latencies []fulmarclock.Millis
		want      fulmarclock.Millis
	}{
		{"before the first call", nil, 200},
		{"fast responses", []fulmarclock.Millis{2, 3, 2}, 200},
		{"a slow response", []fulmarclock.Millis{120}, 480},
		{"no response", []fulmarclock.Millis{noResponse, noResponse}, 800},
		{"no response for long", []fulmarclock.Millis{noResponse, noResponse, noResponse, noResponse, noResponse}, 1500},
		{"a response after a doubled timeout", []fulmarclock.Millis{noResponse, 300}, 1200},
		{"falls slowly after a slow response", []fulmarclock.Millis{200, 2}, 600},
		{"falls to the minimum", []fulmarclock.Millis{200, 2, 2, 2, 2, 2, 2, 2, 2}, 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			timeout := newCallTimeout(200, 1500)
			for _, latency := range tc.latencies {
				if latency == noResponse {
					timeout.recordTimeout()
				} else {
					timeout.recordResponse(latency)
				}
			}
			qt.Assert(t, timeout.value(), qt.Equals, tc.want)
		})
	}
}
