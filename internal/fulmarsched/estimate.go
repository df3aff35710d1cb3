package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// queueModelPrefix precedes a queue's name in the key of its duration model.
const queueModelPrefix = "queue "

// estimateKey groups tasks of similar duration: by image, or by queue if there is no image.
func estimateKey(j *job, image string) string {
	if image != "" {
		return image
	}
	return j.queueModelKey
}

// estimate returns the expected duration of a task, from the duration that its caller declared and
// the durations of earlier tasks of its image or queue.
func (s *Scheduler) estimate(j *job, step *fulmarjob.Step) fulmarclock.Millis {
	return s.durationModels[estimateKey(j, step.Image)].predict(declaredDuration(step))
}

func declaredDuration(step *fulmarjob.Step) fulmarclock.Millis {
	if step.EstimatedDuration <= 0 {
		return defaultEstimate
	}
	return step.EstimatedDuration
}

// observeDuration adds the duration of a completed run to its duration model. Runs that continued
// from a checkpoint are skipped since they did only part of the work.
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

// criticalPath returns the duration of the longest chain of dependent steps of an occurrence. If o
// is not nil, only the steps that are not done yet count.
func (s *Scheduler) criticalPath(j *job, o *occurrence) fulmarclock.Millis {
	longest := fulmarclock.Millis(0)
	ends := make([]fulmarclock.Millis, len(j.specification.Steps))
	// Steps may be listed in any order, so each pass determines the end of at least one more step.
	for range ends {
		changed := false
		for i := range ends {
			step := &j.specification.Steps[i]
			end := fulmarclock.Millis(0)
			for _, before := range step.DependsOn {
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

// remainingCriticalPath returns the longest critical path of the job's active occurrences.
func (s *Scheduler) remainingCriticalPath(j *job) fulmarclock.Millis {
	longest := fulmarclock.Millis(0)
	for _, o := range j.activeOccurrences {
		longest = max(longest, s.criticalPath(j, o))
	}
	return longest
}
