package main

import (
	"fmt"
	"strings"
	"time"
)

// judgeFailedJobs waits until all jobs have ended and returns the violations of LOST: an accepted job
// that nobody has cancelled is shown as failed, although none of its runs has ended failed.
func judgeFailedJobs(w *world, host, prefix string, ids []string) []string {
	var violations []string
	for _, id := range ids {
		state := ""
		waitFor(60*time.Second, func() bool {
			state = w.jobState(host, prefix, id)
			return state == "completed" || state == "failed" || state == "cancelled" || state == "410"
		})
		w.log("client GET %s%s: %s", prefix, id, state)
		if state == "completed" {
			continue
		}
		ends := []string{}
		failed := 0
		for _, r := range w.runsSoFar() {
			if strings.HasPrefix(r.Task, id+".") {
				ends = append(ends, fmt.Sprintf("run %d %s", r.Number, r.How))
				if r.How == "failed" {
					failed++
				}
			}
		}
		violations = append(violations, fmt.Sprintf("LOST: job %s is shown as %q after %d ends \"failed\" of %d permitted (%s)", id, state, failed, maxAttempts, strings.Join(ends, ", ")))
	}
	return violations
}
