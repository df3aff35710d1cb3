package fulmarowner

import (
	"context"
	"errors"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// openJournal reads the journal and restores the scheduler from it.
func (t *term) openJournal(ctx context.Context) error {
	openCtx, cancel := context.WithTimeout(ctx, journalOpenTimeout.Duration())
	defer cancel()
	journal, records, err := fulmarledger.Open(openCtx, t.options.Store, t.options.Clock, t.ownership, t.recordJournalRetry)
	if err != nil {
		return err
	}
	t.journal = journal
	t.guard(func() { t.fail(t.restore(records)) })
	return t.failure
}

func (t *term) recordJournalRetry(err error) {
	t.options.Logger.Warn("call to the journal failed; retrying", "error", err)
	t.options.Metrics.Count("journal_retries", failureReason(err))
}

// failureReason returns the metric's reason of a failed call to the platform.
func failureReason(err error) string {
	var unknown *fulmarjob.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return "no-answer"
	}
	return "not-done"
}

// restore creates the scheduler from the journal's records and the inputs received so far.
func (t *term) restore(records []fulmarledger.Record) error {
	now := t.options.Clock.Now()
	t.scheduler = fulmarsched.New(now, t.options.Parameters, t.ownership.Token(), decisionLog{t.options})
	configuration, waves := t.candidate.inputs()
	if err := t.scheduler.Restore(now, t.options.Clock.Unix(), records); err != nil {
		return err
	}
	if configuration != nil {
		t.scheduler.SetConfiguration(now, configuration)
	}
	for _, w := range waves {
		t.scheduler.AddWave(now, w)
	}
	return nil
}
