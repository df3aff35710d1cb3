package fulmarowner

import (
	"context"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

const (
	// announceTimeout bounds one attempt to reach the previous owner.
	announceTimeout = fulmarclock.Second
	// announceInterval is the time between two attempts.
	announceInterval = 500 * fulmarclock.Millis(1)
	// maxAnnouncements bounds the attempts: a previous owner that responds to none of them is down,
	// and learns the owner from the store when it starts.
	maxAnnouncements = 20
)

// announce tells the previous owner that this member owns the scheduler, until it confirms that or ctx
// ends. It is for a previous owner that can't reach the store: that one would keep the requests of
// its callers, and of the members cut off with it, without being able to accept any.
func (t *term) announce(ctx context.Context) {
	previous, known := t.candidate.previousOwner()
	if !known || t.options.Announce == nil {
		return
	}
	owner := t.ownership.Owner()
	owner.Revision = t.ownership.Token()
	for range maxAnnouncements {
		err := t.announceOnce(ctx, previous, owner)
		if err == nil {
			t.options.Metrics.Count("owner_announcements", "confirmed")
			return
		}
		t.options.Logger.Debug("the previous owner does not confirm the announcement; retrying", "previous", previous.Member, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-t.options.Clock.After(announceInterval):
		}
	}
	t.options.Logger.Warn("the previous owner did not confirm the announcement of this owner", "previous", previous.Member)
	t.options.Metrics.Count("owner_announcements", "unconfirmed")
}

func (t *term) announceOnce(ctx context.Context, previous, owner fulmarledger.Owner) error {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout.Duration())
	defer cancel()
	return t.options.Announce(callCtx, previous.PeerAddress, owner)
}
