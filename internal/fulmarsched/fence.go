package fulmarsched

// fence holds the fencing tokens of the commands to an executor. Commands name only the executor's ID,
// and a command without a response may be executed late, by an incarnation that has started since under
// the same ID. A start carries a token above those of all such commands that must not follow it there:
// whichever incarnation executes the start then refuses them: acknowledgements, which would delete ends, and renewals
// of leases, whose deadlines may be far ahead on its clock.
type fence struct {
	// token is the fencing token of the next command.
	token int64
	// floor is the highest token that a start must be above.
	floor int64
	// accepted means that the present incarnation has executed a command that was meant for it.
	accepted bool
	// open is the last acknowledgement, unless it had a response.
	open openAcknowledgement
	// openRenewal is the token of the last renewal with a deadline, unless it had a response.
	openRenewal int64
}

// openAcknowledgement is an acknowledgement of finished runs that has no response yet. Its number is
// zero if there is none.
type openAcknowledgement struct {
	number int64
	token  int64
}

// tokensPerRevision is the number of fencing tokens for each revision of the journal: more than an executor restarts
// without an append in between.
const tokensPerRevision = 1 << 10

// FirstToken returns the lowest fencing token to executors for a revision of the journal, above all of an earlier one.
func FirstToken(revision int64) int64 { return revision * tokensPerRevision }

// newFence returns the fence of an executor that is met for the first time, or again after it was
// deleted.
func (s *Scheduler) newFence() fence {
	return fence{token: max(FirstToken(s.revision), s.deletedToken), floor: s.deletedToken}
}

// raise gives the commands a token above a lower bound: the first one for the revision of the newest append
// to the journal, or the next one. All of them are below those of any later owner, which has the revision of a
// later change.
func (f *fence) raise(revision, above int64) {
	last := FirstToken(revision+1) - 1
	f.token = max(f.token, FirstToken(revision), min(above+1, last))
}

// beginIncarnation chooses a higher token for a new incarnation, which must not execute commands for earlier
// ones once it has executed one of its own.
func (f *fence) beginIncarnation(revision int64) {
	f.floor, f.accepted, f.open = max(f.floor, f.token), false, openAcknowledgement{}
	f.raise(revision, f.floor)
}

// beginStart raises the token if the start that is sent next needs that: an open acknowledgement or renewal may be executed
// after it, by a later incarnation too.
func (f *fence) beginStart(revision int64) {
	if f.open.number > 0 {
		f.floor = max(f.floor, f.open.token)
	}
	f.floor = max(f.floor, f.openRenewal)
	if f.token <= f.floor {
		f.raise(revision, f.floor)
	}
}

// isOvertaken reports whether a command with a token was overtaken by a start with a higher one, if the
// executor refused it.
func (f *fence) isOvertaken(token int64) bool { return token < f.token }

// noteSent records a renewal that is sent now. An acknowledgement or a deadline that is still without a response may
// be executed after it.
func (f *fence) noteSent(c RenewCommand) {
	f.floor, f.openRenewal = max(f.floor, f.openRenewal), 0
	if c.Deadline > 0 {
		f.openRenewal = c.Token
	}
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
	f.openRenewal = 0
	if f.open.number == c.Acknowledged && f.open.token == c.Token {
		f.open = openAcknowledgement{}
	}
}
