package fulmarentry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	// pathPrefix precedes the pool's name in a caller's path; the worker gets what follows the name.
	pathPrefix = "/pools/"
	// maxTimeout is the longest timeout that a caller may set.
	maxTimeout = 24 * 60 * fulmarclock.Minute
	// maxKeyBytes and maxTeamBytes limit headers that are stored.
	maxKeyBytes  = 256
	maxTeamBytes = 64
)

// parsedRequest is a caller's request with its path and headers validated.
type parsedRequest struct {
	pool    string
	team    string
	urgency fulmarapi.Urgency
	// timeout is zero if the caller sets none.
	timeout fulmarclock.Millis
	// key is the idempotency key, if any.
	key      string
	outgoing *fulmardispatch.Request
}

// parseRequest validates a caller's request. One with an idempotency key is never
// marked idempotent: its key allows one run only.
func parseRequest(r *http.Request) (*parsedRequest, *fulmarapi.Refusal) {
	pool, rest, refusal := splitPath(r.RequestURI)
	if refusal != nil {
		return nil, refusal
	}
	idempotent, refusal := isIdempotent(r.Method)
	if refusal != nil {
		return nil, refusal
	}
	p := &parsedRequest{pool: pool, urgency: fulmarapi.Normal}
	if refusal := p.parseHeaders(r.Header); refusal != nil {
		return nil, refusal
	}
	header := r.Header.Clone()
	fulmardispatch.StripHeaders(header)
	p.outgoing = &fulmardispatch.Request{
		Method: r.Method, URL: rest, Host: r.Host, Header: header,
		Idempotent: idempotent && p.key == "", BodyLength: r.ContentLength,
	}
	return p, nil
}

// splitPath splits a request target into the pool's name and the worker's path and
// query, which stay as the caller wrote them.
func splitPath(target string) (pool string, rest *url.URL, refusal *fulmarapi.Refusal) {
	after, found := strings.CutPrefix(target, pathPrefix)
	if !found {
		return "", nil, fulmarapi.NewRefusal(fulmarapi.ReasonUnknownPool, "the path must be /pools/POOL/...")
	}
	end := strings.IndexAny(after, "/?")
	if end < 0 {
		end = len(after)
	}
	path := after[end:]
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	rest, err := url.ParseRequestURI(path)
	if err != nil {
		return "", nil, fulmarapi.NewRefusal(fulmarapi.ReasonBadHeader, "the path after the pool's name is not a valid URL")
	}
	return after[:end], rest, nil
}

// isIdempotent reports whether a method is idempotent by RFC 9110, section 9.2.2.
// Methods that it does not list count as not idempotent.
func isIdempotent(method string) (bool, *fulmarapi.Refusal) {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true, nil
	case http.MethodConnect, http.MethodTrace:
		return false, fulmarapi.NewRefusal(fulmarapi.ReasonBadMethod, "CONNECT and TRACE are not forwarded")
	}
	return false, nil
}

// parseHeaders reads and validates the project's own headers.
func (p *parsedRequest) parseHeaders(header http.Header) *fulmarapi.Refusal {
	for _, name := range []string{
		fulmarapi.HeaderTimeout, fulmarapi.HeaderUrgency, fulmarapi.HeaderTeam, fulmarapi.HeaderIdempotencyKey,
	} {
		if len(header.Values(name)) > 1 {
			return badHeader(name, "must not be repeated")
		}
	}
	p.team = header.Get(fulmarapi.HeaderTeam)
	if len(p.team) > maxTeamBytes {
		return badHeader(fulmarapi.HeaderTeam, "must not exceed 64 bytes")
	}
	p.key = header.Get(fulmarapi.HeaderIdempotencyKey)
	if len(p.key) > maxKeyBytes {
		return badHeader(fulmarapi.HeaderIdempotencyKey, "must not exceed 256 bytes")
	}
	if refusal := p.parseUrgency(header.Get(fulmarapi.HeaderUrgency)); refusal != nil {
		return refusal
	}
	return p.parseTimeout(header.Get(fulmarapi.HeaderTimeout))
}

func (p *parsedRequest) parseUrgency(text string) *fulmarapi.Refusal {
	if text == "" {
		return nil
	}
	urgency, found := fulmarapi.ParseUrgency(text)
	if !found {
		return badHeader(fulmarapi.HeaderUrgency, "must be urgent, normal or slow")
	}
	p.urgency = urgency
	return nil
}

func (p *parsedRequest) parseTimeout(text string) *fulmarapi.Refusal {
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || fulmarclock.Millis(millis) > maxTimeout {
		return badHeader(fulmarapi.HeaderTimeout, "must be a number of milliseconds from 1 to 86400000")
	}
	p.timeout = fulmarclock.Millis(millis)
	return nil
}

func badHeader(name, detail string) *fulmarapi.Refusal {
	return fulmarapi.NewRefusal(fulmarapi.ReasonBadHeader, "header "+name+" "+detail)
}
