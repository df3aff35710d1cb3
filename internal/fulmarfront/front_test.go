package fulmarfront

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfront/fulmarfrontpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

const testJob = "5c0e7a21d94b36f8"

type noCounters struct{}

func (noCounters) Count(string, string)               {}
func (noCounters) Observe(string, fulmarclock.Millis) {}

type plainFormat struct{}

func (plainFormat) Job(body []byte) (fulmarjob.Specification, error) {
	if string(body) == "broken" {
		return fulmarjob.Specification{}, errors.New("broken")
	}
	return fulmarjob.Specification{Steps: []fulmarjob.Step{{Count: len(body)}}}, nil
}
func (plainFormat) State(state fulmarjob.State) any { return map[string]string{"state": string(state)} }
func (plainFormat) Pending(jobs int) any            { return map[string]int{"pending": jobs} }
func (plainFormat) DeadlineHeader() string          { return "Deadline" }

// oneReply is an owner that always gives the same reply.
type oneReply struct {
	reply fulmarowner.Response
	asked []fulmarowner.Request
}

func (o *oneReply) Do(_ context.Context, q fulmarowner.Request) fulmarowner.Response {
	o.asked = append(o.asked, q)
	return o.reply
}

func testFront(owner Owner, configuration *fulmarjob.Configuration) *Front {
	return New(Options{
		Clock: fulmarclock.NewManual(0), Logger: log.New(io.Discard), Counters: noCounters{}, Format: plainFormat{},
		Owner: owner, Configuration: func() *fulmarjob.Configuration { return configuration },
	})
}

func oneQueue() *fulmarjob.Configuration {
	return &fulmarjob.Configuration{Version: 7, Queues: []fulmarjob.Queue{{Name: "q", Host: "h.example", Prefix: "/a/"}}}
}

func TestAnswers(t *testing.T) {
	reply := func(o fulmarowner.Outcome) fulmarowner.Response {
		return fulmarowner.Response{Outcome: o, State: fulmarjob.Running, Pending: 3, RetryAfter: 1500}
	}
	for _, row := range []struct {
		name, method, path, host, body string
		reply                          fulmarowner.Response
		unconfigured                   bool
		status                         int
		retryAfter, answer             string
	}{
		{name: "accepted", method: "POST", path: "/a/" + testJob, body: "x", reply: reply(fulmarowner.Done), status: 200},
		{name: "refused", method: "POST", path: "/a/" + testJob, body: "x", reply: reply(fulmarowner.Refused), status: 429, retryAfter: "2"},
		{name: "nobody owns the scheduler", method: "POST", path: "/a/" + testJob, body: "x", reply: reply(fulmarowner.NotOwner), status: 503, retryAfter: "1"},
		{name: "perhaps taken in", method: "POST", path: "/a/" + testJob, body: "x", reply: reply(fulmarowner.Unknown), status: 504, retryAfter: "1"},
		{name: "malformed", method: "POST", path: "/a/" + testJob, body: "broken", status: 400},
		{name: "no tasks", method: "POST", path: "/a/" + testJob, status: 400},
		{name: "too large", method: "POST", path: "/a/" + testJob, body: strings.Repeat("x", maxBodyBytes+1), status: 413},
		{name: "state", method: "GET", path: "/a/" + testJob, reply: reply(fulmarowner.Done), status: 200, answer: "{\"state\":\"running\"}\n"},
		{name: "no such job", method: "GET", path: "/a/" + testJob, reply: reply(fulmarowner.UnknownJob), status: 410},
		{name: "state without owner", method: "GET", path: "/a/" + testJob, reply: reply(fulmarowner.NotOwner), status: 503, retryAfter: "1"},
		{name: "state without reply", method: "GET", path: "/a/" + testJob, reply: reply(fulmarowner.Unknown), status: 503, retryAfter: "1"},
		{name: "cancelled", method: "DELETE", path: "/a/" + testJob, reply: reply(fulmarowner.Done), status: 200},
		{name: "cancel of no job", method: "DELETE", path: "/a/" + testJob, reply: reply(fulmarowner.UnknownJob), status: 410},
		{name: "cancel perhaps done", method: "DELETE", path: "/a/" + testJob, reply: reply(fulmarowner.Unknown), status: 504, retryAfter: "1"},
		{name: "pending", method: "GET", path: "/a/", reply: reply(fulmarowner.Done), status: 200, answer: "{\"pending\":3}\n"},
		{name: "another path", method: "GET", path: "/b/" + testJob, status: 404},
		{name: "another host", method: "GET", path: "/a/" + testJob, host: "other.example", status: 404},
		{name: "not an ID", method: "POST", path: "/a/job", body: "x", status: 404},
		{name: "another method", method: "PUT", path: "/a/" + testJob, status: 405},
		{name: "no configuration", method: "POST", path: "/a/" + testJob, unconfigured: true, status: 503, retryAfter: "1"},
	} {
		t.Run(row.name, func(t *testing.T) {
			configuration := oneQueue()
			if row.unconfigured {
				configuration = nil
			}
			request := httptest.NewRequest(row.method, row.path, strings.NewReader(row.body))
			request.Host = "h.example:8624"
			if row.host != "" {
				request.Host = row.host
			}
			recorder := httptest.NewRecorder()
			testFront(&oneReply{reply: row.reply}, configuration).Handler().ServeHTTP(recorder, request)
			quicktest.Assert(t, recorder.Code, quicktest.Equals, row.status)
			quicktest.Assert(t, recorder.Header().Get("Retry-After"), quicktest.Equals, row.retryAfter)
			if row.answer != "" {
				quicktest.Assert(t, recorder.Body.String(), quicktest.Equals, row.answer)
			}
		})
	}
}

func TestTheOwnerIsToldTheVersionOfTheConfiguration(t *testing.T) {
	owner := &oneReply{reply: fulmarowner.Response{Outcome: fulmarowner.Done}}
	request := httptest.NewRequest(http.MethodPost, "/a/"+testJob, strings.NewReader("x"))
	request.Host = "h.example"
	testFront(owner, oneQueue()).Handler().ServeHTTP(httptest.NewRecorder(), request)
	quicktest.Assert(t, owner.asked[0].ConfigurationVersion, quicktest.Equals, int64(7))
}

// scriptedCandidate gives its replies in turn, and the last one for ever.
type scriptedCandidate struct {
	replies []fulmarowner.Response
	asked   int
}

func (s *scriptedCandidate) Do(context.Context, fulmarowner.Request) fulmarowner.Response {
	r := s.replies[min(s.asked, len(s.replies)-1)]
	s.asked++
	return r
}
func (s *scriptedCandidate) Owner() (fulmarledger.Owner, bool) {
	return fulmarledger.Owner{Peers: "self"}, true
}
func (s *scriptedCandidate) OwnerChanged() <-chan struct{} { return nil }

// passingClock lets its time pass in waits.
type passingClock struct{ *fulmarclock.Manual }

func (p passingClock) After(wait fulmarclock.Millis) <-chan fulmarclock.Millis {
	p.Advance(wait)
	done := make(chan fulmarclock.Millis, 1)
	done <- p.Now()
	return done
}

func TestTheRouterAsksAgainAndKeepsDoubts(t *testing.T) {
	of := func(outcomes ...fulmarowner.Outcome) []fulmarowner.Response {
		var replies []fulmarowner.Response
		for _, o := range outcomes {
			replies = append(replies, fulmarowner.Response{Outcome: o})
		}
		return replies
	}
	for _, row := range []struct {
		name    string
		replies []fulmarowner.Response
		want    fulmarowner.Outcome
	}{
		{"an owner appears", of(fulmarowner.NotOwner, fulmarowner.NotOwner, fulmarowner.Done), fulmarowner.Done},
		{"no owner for long", of(fulmarowner.NotOwner), fulmarowner.NotOwner},
		{"a doubt is settled", of(fulmarowner.Unknown, fulmarowner.Done), fulmarowner.Done},
		{"a doubt stays", of(fulmarowner.Unknown, fulmarowner.NotOwner), fulmarowner.Unknown},
		{"a refusal after a doubt is no promise", of(fulmarowner.Unknown, fulmarowner.Refused), fulmarowner.Unknown},
		{"a refusal", of(fulmarowner.Refused), fulmarowner.Refused},
		{"a refusal by a later owner settles a doubt", []fulmarowner.Response{
			{Outcome: fulmarowner.Unknown, Token: 5}, {Outcome: fulmarowner.NotOwner}, {Outcome: fulmarowner.Refused, Token: 9},
		}, fulmarowner.Refused},
		{"a refusal by the same owner does not", []fulmarowner.Response{
			{Outcome: fulmarowner.Unknown, Token: 9}, {Outcome: fulmarowner.Refused, Token: 9},
		}, fulmarowner.Unknown},
		{"nor one by an owner before the last doubt", []fulmarowner.Response{
			{Outcome: fulmarowner.Unknown, Token: 5}, {Outcome: fulmarowner.Unknown, Token: 9}, {Outcome: fulmarowner.Refused, Token: 7},
		}, fulmarowner.Unknown},
	} {
		t.Run(row.name, func(t *testing.T) {
			clock := passingClock{fulmarclock.NewManual(0)}
			router := NewRouter(&scriptedCandidate{replies: row.replies}, clock, log.New(io.Discard), noCounters{}, "self")
			defer router.Close()
			reply := router.Do(context.Background(), fulmarowner.Request{Kind: fulmarowner.Submit, Job: testJob})
			quicktest.Assert(t, reply.Outcome, quicktest.Equals, row.want)
		})
	}
}

func TestDeadlines(t *testing.T) {
	for _, row := range []struct {
		header  string
		timeout fulmarclock.Millis
		want    fulmarclock.Millis
	}{
		{"", 0, defaultDeadline - answerMargin},
		{"3000", 0, 3000 - answerMargin},
		{"1000", 3000, 1000 - answerMargin},
		{"9000", 2000, 2000 - answerMargin},
		{"soon", 2000, 2000 - answerMargin},
		{"-5", 2000, 2000 - answerMargin},
		{"50", 2000, answerMargin},
	} {
		request := httptest.NewRequest(http.MethodGet, "/a/", nil)
		request.Header.Set("Deadline", row.header)
		deadline := testFront(nil, oneQueue()).deadline(request, fulmarjob.Queue{Timeout: row.timeout})
		quicktest.Assert(t, deadline, quicktest.Equals, row.want, quicktest.Commentf("%q %d", row.header, row.timeout))
	}
}

// remoteOwner is owned by a member at an address.
type remoteOwner struct{ address string }

func (remoteOwner) Do(context.Context, fulmarowner.Request) fulmarowner.Response {
	return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
}
func (r remoteOwner) Owner() (fulmarledger.Owner, bool) {
	return fulmarledger.Owner{Peers: r.address, Revision: 5}, true
}
func (remoteOwner) OwnerChanged() <-chan struct{} { return nil }

// Nothing of a question reaches an owner that can't be connected to, so the caller may be told that it did not run.
func TestAQuestionThatNeverLeftCarriedNothing(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	address := socket.Addr().String()
	quicktest.Assert(t, socket.Close(), quicktest.IsNil)
	router := NewRouter(remoteOwner{address}, passingClock{fulmarclock.NewManual(0)}, log.New(io.Discard), noCounters{}, "self")
	defer router.Close()
	reply := router.Do(context.Background(), fulmarowner.Request{Kind: fulmarowner.Submit, Job: testJob})
	quicktest.Assert(t, reply.Outcome, quicktest.Equals, fulmarowner.NotOwner)
}

func TestAQuestionThatLeftMayHaveBeenCarriedOut(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	server := grpc.NewServer()
	fulmarfrontpb.RegisterOwnerServer(server, NewAsker(failingCandidate{server}))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(socket) }()
	router := NewRouter(remoteOwner{socket.Addr().String()}, passingClock{fulmarclock.NewManual(0)}, log.New(io.Discard), noCounters{}, "self")
	defer router.Close()
	reply := router.Do(context.Background(), fulmarowner.Request{Kind: fulmarowner.Cancel, Job: testJob})
	quicktest.Assert(t, reply.Outcome, quicktest.Equals, fulmarowner.Unknown)
	server.Stop()
	<-ended
}

// failingCandidate ends its server when it is asked.
type failingCandidate struct{ server *grpc.Server }

func (f failingCandidate) Do(ctx context.Context, _ fulmarowner.Request) fulmarowner.Response {
	go f.server.Stop()
	<-ctx.Done()
	return fulmarowner.Response{}
}
func (failingCandidate) Owner() (fulmarledger.Owner, bool) { return fulmarledger.Owner{}, false }
func (failingCandidate) OwnerChanged() <-chan struct{}     { return nil }
