package fulmarowner

import (
	"context"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// pendingResponse is a response that is sent once the journal holds what the request changed.
type pendingResponse struct {
	response  Response
	responses chan Response
	// submittedJob is the ID of the job of a Submit request, empty for other requests.
	submittedJob string
}

// respond sends the responses of requests whose changes the journal holds.
func respond(pending []pendingResponse) {
	for _, p := range pending {
		p.responses <- p.response
	}
}

// respondUnknown responds to requests that may or may not be in the journal.
func respondUnknown(pending []pendingResponse) {
	for _, p := range pending {
		p.responses <- Response{Outcome: Unknown, Reason: "ownership-lost"}
	}
}

// beginAppend plans a batch and appends its records in a new goroutine. The pending
// responses are sent after the append, at once if there is nothing to append.
func (t *term) beginAppend(ctx context.Context, now fulmarclock.Millis) {
	t.scheduler.LimitPlacements(t.window.free())
	batch := t.scheduler.Plan(now, t.options.Clock.Unix(), t.journal.CompactionKeys())
	pending := t.pending
	t.pending = nil
	if batch.IsEmpty() {
		respond(pending)
		return
	}
	t.appending, t.appendStarted = true, now
	if len(batch.Records) == 0 {
		appendCompleted{batch: batch, pending: pending, started: now}.apply(t, now)
		return
	}
	t.calls.Go(func() {
		err := t.journal.Append(ctx, batch.Records)
		if !t.send(appendCompleted{batch: batch, pending: pending, started: now, err: err}) {
			respondUnknown(pending)
		}
	})
}

// appendCompleted is the result of an append to the journal that was started at time started.
type appendCompleted struct {
	batch   *fulmarsched.Batch
	pending []pendingResponse
	started fulmarclock.Millis
	err     error
}

func (e appendCompleted) apply(t *term, now fulmarclock.Millis) {
	t.appending = false
	if e.err != nil {
		t.fail(e.err)
		respondUnknown(e.pending)
		return
	}
	t.options.Metrics.Observe("append", now-e.started)
	t.scheduler.Committed(now, e.batch, t.journal.Revision())
	respond(e.pending)
}
