package fulmarjob

import (
	"math"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

func TestQueueFor(t *testing.T) {
	configuration := &Configuration{Queues: []Queue{
		{Name: "all", Host: "a", Prefix: "/"},
		{Name: "long", Host: "a", Prefix: "/jobs/urgent/"},
		{Name: "short", Host: "a", Prefix: "/jobs/"},
		{Name: "other", Host: "b", Prefix: "/jobs/"},
	}}
	cases := []struct{ host, path, want string }{
		{"a", "/jobs/urgent/1", "long"},
		{"a", "/jobs/1", "short"},
		{"a", "/jobs", "all"},
		{"b", "/jobs/urgent/1", "other"},
		{"b", "/", ""},
		{"c", "/jobs/1", ""},
	}
	for _, tc := range cases {
		queue, found := configuration.QueueFor(tc.host, tc.path)
		quicktest.Assert(t, queue.Name, quicktest.Equals, tc.want, quicktest.Commentf("%s%s", tc.host, tc.path))
		quicktest.Assert(t, found, quicktest.Equals, tc.want != "")
	}
}

// TestLookupsWithoutConfiguration guards against a panic before the first configuration arrives.
func TestLookupsWithoutConfiguration(t *testing.T) {
	var configuration *Configuration
	_, found := configuration.QueueFor("a", "/")
	quicktest.Assert(t, found, quicktest.IsFalse)
	_, found = configuration.QueueByName("all")
	quicktest.Assert(t, found, quicktest.IsFalse)
	_, found = configuration.ServiceByName("web")
	quicktest.Assert(t, found, quicktest.IsFalse)
}

func TestAdviceCallFitsIntoValidityOfItsTickets(t *testing.T) {
	times := AdviceTimes{Decision: 300, PerExecutor: 200, Validity: 3000}
	quicktest.Check(t, times.CallDuration(6), quicktest.Equals, fulmarclock.Millis(1500))
	quicktest.Check(t, times.MaxExecutors(0.5), quicktest.Equals, 6)
	quicktest.Check(t, times.ExecutorsPerDecision(), quicktest.Equals, 1)
	quicktest.Check(t, AdviceTimes{Decision: 5000, PerExecutor: 200, Validity: 3000}.MaxExecutors(0.5), quicktest.Equals, 1)
	quicktest.Check(t, AdviceTimes{}.MaxExecutors(0.5), quicktest.Equals, math.MaxInt)
	quicktest.Check(t, AdviceTimes{Decision: 300, Validity: 3000}.ExecutorsPerDecision(), quicktest.Equals, math.MaxInt)
}
