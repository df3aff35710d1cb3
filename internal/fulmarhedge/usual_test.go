package fulmarhedge

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

func TestCopiesWaitLongerWhenAllCallsAreSlow(t *testing.T) {
	u := NewUsual(100, 400, 3)
	quicktest.Assert(t, u.Plan(), quicktest.Equals, Plan{After: 100, Most: 3})
	for range 100 {
		u.Note(60)
	}
	slow := u.Plan().After
	quicktest.Assert(t, slow > 200 && slow <= 240, quicktest.IsTrue, quicktest.Commentf("%d", slow))
	for range 100 {
		u.Note(1000)
	}
	quicktest.Assert(t, u.Plan().After, quicktest.Equals, fulmarclock.Millis(400))
	for range 100 {
		u.Note(5)
	}
	quicktest.Assert(t, u.Plan().After, quicktest.Equals, fulmarclock.Millis(100))
}
