package fulmarrelay

import (
	"errors"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// RemoteError is the error that another member got when it executed a command.
type RemoteError struct{ Text string }

// Error returns the other member's error text.
func (e *RemoteError) Error() string { return e.Text }

// AnswerSizeError means that the result of a command is too large for a message.
type AnswerSizeError struct{ Bytes int }

// Error returns a text with the size.
func (e *AnswerSizeError) Error() string {
	return "the result is too large for a message: " + strconv.Itoa(e.Bytes) + " bytes"
}

func encodeTask(t fulmarjob.TaskID) *fulmarrelaypb.Task {
	return &fulmarrelaypb.Task{Job: t.Job, Occurrence: int64(t.Occurrence), Step: int64(t.Step), Index: int64(t.Index)}
}

func decodeTask(t *fulmarrelaypb.Task) fulmarjob.TaskID {
	return fulmarjob.TaskID{Job: t.GetJob(), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

func encodeStart(s fulmarjob.StartRequest) *fulmarrelaypb.Order_Start {
	return &fulmarrelaypb.Order_Start{Start: &fulmarrelaypb.Start{
		Task: encodeTask(s.Task), Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		DeadlineMs: int64(s.Deadline), Token: s.Token,
	}}
}

func decodeStart(s *fulmarrelaypb.Start) fulmarjob.StartRequest {
	return fulmarjob.StartRequest{
		Task: decodeTask(s.GetTask()), Run: s.GetRun(), Payload: s.GetPayload(), Checkpoint: s.GetCheckpoint(),
		Ticket: s.GetTicket(), Deadline: fulmarclock.Millis(s.GetDeadlineMs()), Token: s.GetToken(),
	}
}

// encodeResult returns the message that carries the result of the command with the given
// number.
func encodeResult(number uint64, result fulmarjob.CommandResult, err error) *fulmarrelaypb.Answer {
	a := &fulmarrelaypb.Answer{Number: number, Answer: int32(result)}
	if err != nil {
		a.Error = encodeErrorText(err.Error())
	}
	return a
}

// encodeErrorText returns the beginning of an error text as valid UTF-8. It may quote what a
// server has answered, of any bytes and size: a message with another string can't be sent, which
// ends the stream with all commands on it.
func encodeErrorText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxErrorTextBytes)], "\uFFFD")
}

// decodeResult returns the result of a relayed command. err is the relay's own error
// when there is no message. A result that this version does not know counts as unknown.
func decodeResult(a *fulmarrelaypb.Answer, err error) (fulmarjob.CommandResult, error) {
	var notSent *fulmarattempt.NotSentError
	if errors.As(err, &notSent) {
		return fulmarjob.ResultUnreachable, err
	}
	if err != nil {
		return fulmarjob.ResultUnknown, err
	}
	result := fulmarjob.CommandResult(a.GetAnswer())
	if result < fulmarjob.ResultDone || result > fulmarjob.ResultUnreachable {
		result = fulmarjob.ResultUnknown
	}
	if a.GetError() != "" {
		return result, &RemoteError{Text: a.GetError()}
	}
	return result, nil
}

func encodeReport(r fulmarjob.Report) *fulmarrelaypb.Report {
	report := &fulmarrelaypb.Report{Born: r.Incarnation, ClockMs: int64(r.ClockTime), MoreFinished: r.MoreFinished}
	for _, t := range r.Running {
		report.Running = append(report.Running, &fulmarrelaypb.Running{
			Task: encodeTask(t.Task), Run: t.Run, Saved: t.Checkpoint, Percent: int64(t.ProgressPercent), Recent: t.Measurement,
		})
	}
	for _, t := range r.Finished {
		report.Finished = append(report.Finished, &fulmarrelaypb.Finished{
			Number: t.Sequence, Task: encodeTask(t.Task), Run: t.Run, How: string(t.Outcome), Saved: t.Checkpoint,
		})
	}
	return report
}

func decodeReport(r *fulmarrelaypb.Report) fulmarjob.Report {
	report := fulmarjob.Report{Incarnation: r.GetBorn(), ClockTime: fulmarclock.Millis(r.GetClockMs()), MoreFinished: r.GetMoreFinished()}
	for _, t := range r.GetRunning() {
		report.Running = append(report.Running, fulmarjob.RunningTask{
			Task: decodeTask(t.GetTask()), Run: t.GetRun(), Checkpoint: t.GetSaved(), ProgressPercent: int(t.GetPercent()), Measurement: t.GetRecent(),
		})
	}
	for _, t := range r.GetFinished() {
		report.Finished = append(report.Finished, fulmarjob.FinishedTask{
			Sequence: t.GetNumber(), Task: decodeTask(t.GetTask()), Run: t.GetRun(), Outcome: fulmarjob.RunOutcome(t.GetHow()), Checkpoint: t.GetSaved(),
		})
	}
	return report
}
