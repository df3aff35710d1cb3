package fulmarsched

// fence holds the fencing tokens of the commands to an executor. Commands name only the executor's ID,
// and a command without a response may be executed late, by an incarnation that has started since under
// the same ID. A start carries a token above those of all such commands that must not follow it there:
// whichever incarnation executes the start then refuses them.
type fence struct {
	// token is the fencing token of the next command.
	token int64
	// floor is the highest token that a start must be above.
	floor int64
	// accepted means that the present incarnation has executed a command that was meant for it.
	accepted bool
	// open is the last acknowledgement, unless it had a response.
	open openAcknowledgement
}

// openAcknowledgement is an acknowledgement of finished runs that has no response yet. Its number is
// zero if there is none.
type openAcknowledgement struct {
	number int64
	token  int64
}

// newFence returns the fence of an executor that is met for the first time, or again after it was
// deleted.
func (s *Scheduler) newFence() fence {
	return fence{token: s.revision, floor: s.deletedToken}
}

// raise gives the commands a higher token if the journal was appended to since the present one was
// chosen: the revision of the newest append. It is below the token of any later owner, which is the
// revision of a later change.
func (f *fence) raise(revision int64) { f.token = max(f.token, revision) }

// beginIncarnation chooses the token for a new incarnation, which must not execute commands for earlier
// ones.
func (f *fence) beginIncarnation(revision int64) {
	f.floor, f.accepted, f.open = max(f.floor, f.token), false, openAcknowledgement{}
	f.raise(revision)
}

// beginStart raises the token if the start that is sent next needs that. The append of its placement
// has made a higher one available. mayBeLater means that a later incarnation may execute the start; the
// open acknowledgement may then follow it.
func (f *fence) beginStart(revision int64, mayBeLater bool) {
	if f.open.number > 0 && mayBeLater {
		f.floor = max(f.floor, f.open.token)
	}
	if f.token <= f.floor {
		f.raise(revision)
	}
}

// isOvertaken reports whether a command with a token was overtaken by a start with a higher one, if the
// executor refused it.
func (f *fence) isOvertaken(token int64) bool { return token < f.token }

// noteSent records a renewal that is sent now. An acknowledgement that is still without a response may
// be executed after it.
func (f *fence) noteSent(c RenewCommand) {
	if c.Acknowledged == 0 {
		return
	}
	if f.open.number > 0 {
		f.floor = max(f.floor, f.open.token)
	}
	f.open = openAcknowledgement{number: c.Acknowledged, token: c.Token}
}

// noteResponse records that the executor has executed a renewal.
func (f *fence) noteResponse(c RenewCommand) {
	if f.open.number == c.Acknowledged && f.open.token == c.Token {
		f.open = openAcknowledgement{}
	}
}
