package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// estimateKey is what tasks of like duration share.
func estimateKey(j *job, image string) string {
	if image != "" {
		return image
	}
	return "queue " + j.queue.Name
}

// estimate returns the expected duration of a task, from what its caller declared
// and how long tasks of its image or queue took.
func (s *Scheduler) estimate(j *job, step *fulmarjob.Step) fulmarclock.Millis {
	return s.durationModels[estimateKey(j, step.Image)].predict(declaredDuration(step))
}

func declaredDuration(step *fulmarjob.Step) fulmarclock.Millis {
	if step.Estimate <= 0 {
		return defaultEstimate
	}
	return step.Estimate
}

// learn takes in the duration of a run that is done.
func (s *Scheduler) observeDuration(t *task) {
	if t.confirmedAt == 0 || t.checkpoint != "" {
		return
	}
	key := estimateKey(t.job, t.step.Image)
	model := s.durationModels[key]
	if model == nil {
		model = &durationModel{}
		s.durationModels[key] = model
	}
	model.observe(declaredDuration(t.step), s.now-t.confirmedAt)
}

// chain returns the longest chain of estimated work of one occurrence; o limits it to what is left.
func (s *Scheduler) criticalPath(j *job, o *occurrence) fulmarclock.Millis {
	longest := fulmarclock.Millis(0)
	ends := make([]fulmarclock.Millis, len(j.specification.Steps))
	// Steps may be listed in any order, so each pass settles at least one more of them.
	for range ends {
		changed := false
		for i := range ends {
			step := &j.specification.Steps[i]
			end := fulmarclock.Millis(0)
			for _, before := range step.After {
				end = max(end, ends[before])
			}
			if o == nil || o.remaining[i] > 0 {
				end += s.estimate(j, step)
			}
			changed = changed || end != ends[i]
			ends[i] = end
			longest = max(longest, end)
		}
		if !changed {
			break
		}
	}
	return longest
}

// remainingChain returns the longest chain of work that is left.
func (s *Scheduler) remainingCriticalPath(j *job) fulmarclock.Millis {
	longest := fulmarclock.Millis(0)
	for _, o := range j.activeOccurrences {
		longest = max(longest, s.criticalPath(j, o))
	}
	return longest
}
