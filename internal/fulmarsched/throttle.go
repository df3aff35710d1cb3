package fulmarsched

// sharesWithFilling tells whether filling tasks run beside serving ones.
func mixesBestEffort(e *executor) bool {
	bestEffort, latencySensitive := false, false
	for _, t := range e.tasks {
		bestEffort = bestEffort || t.step.Fills
		latencySensitive = latencySensitive || t.step.TailTarget > 0
	}
	return bestEffort && latencySensitive
}

// setPaces slows the filling tasks of an executor when the tail of a serving task
// nears its target, and speeds them up again step by step.
func (s *Scheduler) adjustSpeeds(e *executor) {
	if !mixesBestEffort(e) || s.now < e.throttledAt+throttleInterval {
		return
	}
	worst := 0.0
	for _, t := range e.tasks {
		if t.step.TailTarget > 0 && t.isAvailable() {
			worst = max(worst, t.recentLoad/float64(t.step.TailTarget))
		}
	}
	e.throttledAt = s.now
	for _, t := range sortedTasks(e) {
		if t.step.Fills && t.runningSince > 0 && !t.stopping {
			s.setSpeed(e, t, nextSpeed(t.speed, worst))
		}
	}
}

// nextPace returns the pace of a filling task beside a serving one whose tail is
// at worst times its target.
func nextSpeed(speed int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= slowDownRatio:
		return speed / 2
	case worst < speedUpRatio:
		return min(speed+speedUpStep, fullSpeed)
	}
	return speed
}

func (s *Scheduler) setSpeed(e *executor, t *task, speed int) {
	if speed == t.speed {
		return
	}
	t.speed = speed
	s.commands = append(s.commands, PaceOrder{Target: e.target(), Task: t.id, Run: t.run, Token: s.token, Percent: speed})
}
