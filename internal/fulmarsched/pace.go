package fulmarsched

// sharesWithFilling tells whether filling tasks run beside serving ones.
func sharesWithFilling(e *executor) bool {
	fills, serves := false, false
	for _, t := range e.tasks {
		fills = fills || t.step.Fills
		serves = serves || t.step.TailTarget > 0
	}
	return fills && serves
}

// setPaces slows the filling tasks of an executor when the tail of a serving task
// nears its target, and speeds them up again step by step.
func (s *Scheduler) setPaces(e *executor) {
	if !sharesWithFilling(e) || s.now < e.paced+paceEvery {
		return
	}
	worst := 0.0
	for _, t := range e.tasks {
		if t.step.TailTarget > 0 && t.isAtWork() {
			worst = max(worst, t.recent/float64(t.step.TailTarget))
		}
	}
	e.paced = s.now
	for _, t := range sortedTasks(e) {
		if t.step.Fills && t.running > 0 && !t.stopping {
			s.setPace(e, t, nextPace(t.pace, worst))
		}
	}
}

// nextPace returns the pace of a filling task beside a serving one whose tail is
// at worst times its target.
func nextPace(pace int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= paceDownAt:
		return pace / 2
	case worst < paceUpAt:
		return min(pace+paceUpStep, fullSpeed)
	}
	return pace
}

func (s *Scheduler) setPace(e *executor, t *task, pace int) {
	if pace == t.pace {
		return
	}
	t.pace = pace
	s.orders = append(s.orders, ThrottleCommand{Target: e.target(), Task: t.id, Run: t.run, Token: s.token, Percent: pace})
}
