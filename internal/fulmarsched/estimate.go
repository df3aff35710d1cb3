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
	return s.learned[estimateKey(j, step.Image)].expect(declaredOf(step))
}

func declaredOf(step *fulmarjob.Step) fulmarclock.Millis {
	if step.Estimate <= 0 {
		return defaultEstimate
	}
	return step.Estimate
}

// learn takes in the duration of a run that is done.
func (s *Scheduler) learn(t *task) {
	if t.answered == 0 || t.saved != "" {
		return
	}
	key := estimateKey(t.job, t.step.Image)
	f := s.learned[key]
	if f == nil {
		f = &forecast{}
		s.learned[key] = f
	}
	f.learn(declaredOf(t.step), s.now-t.answered)
}

// chain returns the longest chain of estimated work of one occurrence; o limits it to what is left.
func (s *Scheduler) chain(j *job, o *occurrence) fulmarclock.Millis {
	longest := fulmarclock.Millis(0)
	ends := make([]fulmarclock.Millis, len(j.specification.Steps))
	// Steps may be listed in any order, so each pass settles at least one more of them.
	for range ends {
		changed := false
		for i := range ends {
			step := &j.specification.Steps[i]
			end := fulmarclock.Millis(0)
			for _, a := range step.After {
				end = max(end, ends[a])
			}
			if o == nil || o.left[i] > 0 {
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
func (s *Scheduler) remainingChain(j *job) fulmarclock.Millis {
	longest := fulmarclock.Millis(0)
	for _, o := range j.active {
		longest = max(longest, s.chain(j, o))
	}
	return longest
}
