package fulmarfront

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

// Responses of an owner that accepts, refuses for lack of capacity, sheds load, does not respond,
// or is gone.
var (
	acceptedResponse = fulmarowner.Response{Outcome: fulmarowner.Done}
	backlogResponse  = fulmarowner.Response{Outcome: fulmarowner.Refused, Reason: "backlog"}
	shedResponse     = fulmarowner.Response{Outcome: fulmarowner.Refused, Reason: "busy"}
	noResponse       = fulmarowner.Response{Outcome: fulmarowner.Unknown}
	noOwner          = fulmarowner.Response{Outcome: fulmarowner.NotOwner}
)

// playShedder offers submissions at a rate for a time, with responses by their number, and
// returns how many were let through.
func playShedder(s *shedder, start, duration fulmarclock.Millis, perSecond int, respond func(n int) fulmarowner.Response) int {
	sent := 0
	count := int(duration) * perSecond / 1000
	for i := range count {
		now := start + fulmarclock.Millis(i*1000/perSecond)
		if s.allows(now) {
			s.record(now, respond(sent))
			sent++
		}
	}
	return sent
}

// cyclicRandom returns 0.05, 0.15 and so on up to 0.95, and then begins again.
func cyclicRandom() func() float64 {
	n := 0
	return func() float64 {
		n++
		return float64(n%10)/10 + 0.05
	}
}

func TestShedder(t *testing.T) {
	always := func(r fulmarowner.Response) func(int) fulmarowner.Response {
		return func(int) fulmarowner.Response { return r }
	}
	for _, row := range []struct {
		name      string
		perSecond int
		respond   func(n int) fulmarowner.Response
		// least and most bound the submissions that are let through in 4 seconds.
		least, most int
	}{
		{"all accepted", 100, always(acceptedResponse), 400, 400},
		{"all refused for lack of capacity", 100, always(backlogResponse), 400, 400},
		{"no owner", 100, always(noOwner), 400, 400},
		{"a third is shed", 100, func(n int) fulmarowner.Response {
			if n%3 == 0 {
				return shedResponse
			}
			return acceptedResponse
		}, 360, 400},
		{"few without response", 2, always(noResponse), 8, 8},
		// At most shedMinAttempts in shedDecayMillis, which are 80 and the first 10, and a
		// tenth of the others.
		{"all shed", 100, always(shedResponse), 10, 121},
		{"no responses", 100, always(noResponse), 10, 121},
	} {
		t.Run(row.name, func(t *testing.T) {
			sent := playShedder(newShedder(cyclicRandom()), 0, 4000, row.perSecond, row.respond)
			quicktest.Assert(t, sent >= row.least && sent <= row.most, quicktest.IsTrue, quicktest.Commentf("%d sent", sent))
		})
	}
}

// TestSheddingEndsWithOverload plays an owner that handles a tenth of a burst and all
// submissions after it. Two seconds later none may be refused.
func TestSheddingEndsWithOverload(t *testing.T) {
	shedder := newShedder(cyclicRandom())
	burst := playShedder(shedder, 0, 4000, 500, func(n int) fulmarowner.Response {
		if n%10 == 0 {
			return acceptedResponse
		}
		return shedResponse
	})
	quicktest.Assert(t, burst < 1000, quicktest.IsTrue, quicktest.Commentf("%d of 2000 sent in the burst", burst))
	accept := func(int) fulmarowner.Response { return acceptedResponse }
	playShedder(shedder, 4000, 2000, 50, accept)
	quicktest.Assert(t, playShedder(shedder, 6000, 1000, 50, accept), quicktest.Equals, 50)
}
