package fulmarctl

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// explanationWriter writes the lines of an explanation, each with a label.
type explanationWriter struct{ text strings.Builder }

func (w *explanationWriter) line(label, format string, values ...any) {
	fmt.Fprintf(&w.text, "%-14s%s\n", label, fmt.Sprintf(format, values...))
}

// explanationText returns an explanation as text.
func explanationText(x fulmarapi.Explanation) string {
	w := &explanationWriter{}
	if x.Job != "" {
		w.line("job", "%s", x.Job)
	}
	w.line("customer", "%s", orElse(x.Customer, "none"))
	w.line("queue", "%s, service %s, priority %d", x.Queue, x.Service, x.Priority)
	w.decision(x.Decision)
	w.progress(x.Progress)
	w.quota(x.Quota)
	if s := x.Share; s != nil {
		w.line("share", "%s of the pool, demand %s: %s the share", percent(s.Share), percent(s.Demand), strings.ReplaceAll(string(s.Standing), "-", " "))
	}
	for _, step := range x.Steps {
		w.step(step)
	}
	w.line("expected end", "%s", after(x.EndMillis))
	return w.text.String()
}

func orElse(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

func (w *explanationWriter) decision(d *fulmarapi.ExplainedDecision) {
	switch {
	case d == nil:
	case d.Accepted:
		w.line("decision", "accepted")
	case d.RetryAfterMillis > 0:
		w.line("decision", "refused: %s, retry after %d ms", d.Reason, d.RetryAfterMillis)
	default:
		w.line("decision", "refused: %s, a retry does not help", d.Reason)
	}
}

func (w *explanationWriter) progress(p *fulmarapi.JobProgress) {
	if p != nil {
		w.line("state", "%s; tasks: %d running, %d waiting, %d done", p.State, p.Running, p.Waiting, p.Done)
	}
}

func (w *explanationWriter) quota(q *fulmarapi.QuotaReport) {
	if q == nil {
		w.line("quota", "none")
		return
	}
	var parts []string
	add := func(name string, used, limit int64, format func(amount int64) string) {
		if limit > 0 {
			parts = append(parts, fmt.Sprintf("%s of %s %s", format(used), format(limit), name))
		}
	}
	add("cores", q.Used.MilliCPU, q.Limit.MilliCPU, cores)
	add("MB", q.Used.MemoryMB, q.Limit.MemoryMB, whole)
	add("GPUs", q.Used.GPUs, q.Limit.GPUs, whole)
	w.line("quota", "%s in use", strings.Join(parts, ", "))
}

func (w *explanationWriter) step(step fulmarapi.StepExplanation) {
	label := fmt.Sprintf("step %d", step.Step)
	if step.Occurrence > 0 {
		label = fmt.Sprintf("step %d (#%d)", step.Step, step.Occurrence)
	}
	w.line(label, "%d waiting, each %s cores, %d MB%s", step.Waiting, cores(step.Resources.MilliCPU), step.Resources.MemoryMB, details(step))
	w.line("  executors", "%d of %d can take the next task, room for %d of the waiting", step.Candidates, step.Executors, step.Room)
	if len(step.Excluded) > 0 {
		w.line("  ruled out", "%s", exclusions(step.Excluded))
	}
	if step.HeldBack {
		w.line("  held back", "by the customer's quota")
	}
	if step.Executor != "" {
		w.line("  next task", "on %s", step.Executor)
	}
	if r := step.Reservation; r != nil {
		w.line("  reservation", "on %s, %s", r.Executor, after(r.StartMillis))
	}
	w.line("  start", "%s", start(step.Start))
}

// details returns what is special about a step's tasks.
func details(step fulmarapi.StepExplanation) string {
	text := ""
	if step.Resources.GPUs > 0 {
		text += fmt.Sprintf(", %d GPUs", step.Resources.GPUs)
	}
	if step.Gang {
		text += ", all or nothing"
	}
	return text
}

func exclusions(excluded []fulmarapi.Exclusion) string {
	parts := make([]string, len(excluded))
	for i, x := range excluded {
		parts[i] = fmt.Sprintf("%d %s", x.Executors, x.Reason)
	}
	return strings.Join(parts, ", ")
}

// startTexts are the texts for the bases of an expected start.
var startTexts = map[fulmarapi.StartBasis]string{
	fulmarapi.StartNow: "now", fulmarapi.StartReservation: "by the reservation", fulmarapi.StartAfterWork: "after the work before it",
	fulmarapi.StartAfterQuota: "when the quota leaves room", fulmarapi.StartAfterRetry: "after the delay that follows crashes",
	fulmarapi.StartAfterAdvice: "when the placement advisor has answered", fulmarapi.StartAfterMembers: "when the other runs of the gang have ended",
	fulmarapi.StartRefused: "never, as the job is refused",
	fulmarapi.StartUnknown: "unknown, as no executor is expected to have room",
}

func start(s fulmarapi.ExpectedStart) string {
	text := orElse(startTexts[s.Basis], string(s.Basis))
	if s.Millis > 0 {
		return after(s.Millis) + ", " + text
	}
	return text
}

// after returns a time from now; negative times are unknown.
func after(millis int64) string {
	if millis < 0 {
		return "unknown"
	}
	return fmt.Sprintf("in %d ms", millis)
}

func cores(milliCPU int64) string { return strconv.FormatFloat(float64(milliCPU)/1000, 'f', -1, 64) }

func whole(amount int64) string { return strconv.FormatInt(amount, 10) }

func percent(fraction float64) string { return strconv.FormatFloat(100*fraction, 'f', 1, 64) + "%" }
