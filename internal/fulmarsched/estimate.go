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

// estimate returns the expected duration of a task: what tasks of its image took,
// else what its caller guessed.
func (s *Scheduler) estimate(j *job, step *fulmarjob.Step) fulmarclock.Millis {
	image, guess := step.Image, step.Estimate
	if guess <= 0 {
		guess = defaultEstimate
	}
	if ratio, known := s.learned[estimateKey(j, image)]; known {
		return fulmarclock.Millis(ratio * float64(guess))
	}
	return guess
}

// learn takes the duration of a run that is done into the ratio of its image.
func (s *Scheduler) learn(t *task) {
	if t.answered == 0 || t.saved != "" {
		return
	}
	image, guess := t.step.Image, t.step.Estimate
	if guess <= 0 {
		guess = defaultEstimate
	}
	ratio := float64(s.now-t.answered) / float64(guess)
	key := estimateKey(t.job, image)
	old, known := s.learned[key]
	if !known {
		old = 1
	}
	s.learned[key] = old + learnWeight*(ratio-old)
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
