package fulmarjob

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestEachResultHasItsName(t *testing.T) {
	seen := map[string]bool{}
	for result := ResultDone; result <= ResultUnreachable; result++ {
		seen[result.String()] = true
	}
	quicktest.Assert(t, seen, quicktest.HasLen, int(ResultUnreachable)+1)
	quicktest.Assert(t, ResultInvalid.String(), quicktest.Equals, "invalid")
}

func TestHasLabel(t *testing.T) {
	e := Executor{Labels: []string{"gpu", "r1-3"}}
	cases := []struct {
		label string
		want  bool
	}{{"", true}, {"gpu", true}, {"r1-3", true}, {"r1", false}}
	for _, tc := range cases {
		quicktest.Assert(t, e.HasLabel(tc.label), quicktest.Equals, tc.want, quicktest.Commentf("%q", tc.label))
	}
}
