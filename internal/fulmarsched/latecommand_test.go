//go:build knownred

package fulmarsched

func init() {
	plays = append(plays, play{
		name: "late commands that outlive the executor", steps: shortSteps,
		setUp: func(s *simulation, _ *randomSource) { s.lateCommandsSurvive = true },
	})
}
