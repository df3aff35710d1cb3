package fulmarsched

// mixesBestEffort reports whether an executor runs both best-effort and latency-sensitive tasks.
func mixesBestEffort(e *executor) bool {
	bestEffort, latencySensitive := false, false
	for _, t := range e.tasks {
		bestEffort = bestEffort || t.step.BestEffort
		latencySensitive = latencySensitive || t.step.TailLatencyTarget > 0
	}
	return bestEffort && latencySensitive
}

// adjustSpeeds throttles the best-effort tasks of an executor when the tail latency of a
// latency-sensitive task approaches its target, and speeds them up again in steps.
func (s *Scheduler) adjustSpeeds(e *executor) {
	if !mixesBestEffort(e) || s.now < e.throttledAt+throttleInterval {
		return
	}
	worst := 0.0
	for _, t := range e.tasks {
		if t.step.TailLatencyTarget > 0 && t.isAvailable() {
			worst = max(worst, t.recentLoad/float64(t.step.TailLatencyTarget))
		}
	}
	e.throttledAt = s.now
	for _, t := range sortedTasks(e) {
		if t.step.BestEffort && t.runningSince > 0 && !t.stopping {
			s.setSpeed(e, t, nextSpeed(t.speed, worst))
		}
	}
}

// nextSpeed returns the next speed of a best-effort task in percent; worst is the highest ratio of
// tail latency to its target on the same executor.
func nextSpeed(speed int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= slowDownRatio:
		return speed / 2
	case worst < speedUpRatio:
		return min(speed+speedUpStep, fullPercent)
	}
	return speed
}

func (s *Scheduler) setSpeed(e *executor, t *task, speed int) {
	if speed == t.speed {
		return
	}
	t.speed = speed
	s.commands = append(s.commands, ThrottleCommand{Target: e.target(), Task: t.id, Run: t.run, Token: e.fence.token, Percent: speed})
}
