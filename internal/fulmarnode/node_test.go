package fulmarnode

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// A member that is told to stop goes on answering its callers until the time that
// it has for them is over, owner or not.
func TestPlannedStopKeepsAnswering(t *testing.T) {
	clock := fulmarclock.NewManual(0)
	const local, nowhere = "127.0.0.1:0", "127.0.0.1:1"
	settings := Settings{
		Member: "m", Callers: local, Ready: local, Peers: local, Metrics: local, Store: nowhere, Fleet: nowhere, Advice: nowhere,
		Bounds: defaultBounds,
	}
	node, err := start(settings, log.New(io.Discard), clock)
	quicktest.Assert(t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	callers := "http://" + node.listeners[0].Addr().String() + "/x"
	statusOf := func() int {
		response, err := http.Get(callers)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, response.Body.Close(), quicktest.IsNil)
		return response.StatusCode
	}
	quicktest.Assert(t, statusOf(), quicktest.Equals, http.StatusServiceUnavailable)
	cancel()
	for !node.stopping.Load() {
		quicktest.Assert(t, statusOf(), quicktest.Equals, http.StatusServiceUnavailable)
	}
	<-node.resigned
	for range 50 {
		quicktest.Assert(t, statusOf(), quicktest.Equals, http.StatusServiceUnavailable)
	}
	http.DefaultClient.CloseIdleConnections()
	for {
		select {
		case err := <-ended:
			quicktest.Assert(t, err, quicktest.IsNil)
			return
		default:
			clock.Advance(fulmarclock.Second)
		}
	}
}
