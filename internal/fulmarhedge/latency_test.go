package fulmarhedge

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

func TestPlanDelayFollowsAverageLatency(t *testing.T) {
	l := NewLatencyTracker(100, 400, 3)
	quicktest.Assert(t, l.Plan(), quicktest.Equals, Plan{Delay: 100, MaxAttempts: 3})
	for range 100 {
		l.Observe(60)
	}
	slow := l.Plan().Delay
	quicktest.Assert(t, slow > 200 && slow <= 240, quicktest.IsTrue, quicktest.Commentf("%d", slow))
	for range 100 {
		l.Observe(1000)
	}
	quicktest.Assert(t, l.Plan().Delay, quicktest.Equals, fulmarclock.Millis(400))
	for range 100 {
		l.Observe(5)
	}
	quicktest.Assert(t, l.Plan().Delay, quicktest.Equals, fulmarclock.Millis(100))
}
