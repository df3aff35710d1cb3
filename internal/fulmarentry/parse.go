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
	// pathPrefix stands before the pool's name in a caller's path; what follows the name is sent on.
	pathPrefix = "/pools/"
	// timeoutMost is the longest time limit a caller may state.
	timeoutMost = 24 * 60 * fulmarclock.Minute
	// keyMost and teamMost bound the length of headers that are kept, in bytes.
	keyMost  = 256
	teamMost = 64
)

// call is a caller's request after its headers have been checked.
type call struct {
	pool    string
	team    string
	urgency fulmarapi.Urgency
	timeout fulmarclock.Millis
	key     string
	request *fulmardispatch.Request
}

// parse checks a caller's request; timeout zero means that the caller stated none.
func parse(r *http.Request) (*call, *fulmarapi.Refusal) {
	pool, rest, refusal := splitPath(r.RequestURI)
	if refusal != nil {
		return nil, refusal
	}
	idempotent, refusal := isIdempotent(r.Method)
	if refusal != nil {
		return nil, refusal
	}
	c := &call{pool: pool, urgency: fulmarapi.Normal}
	if refusal := c.parseHeader(r.Header); refusal != nil {
		return nil, refusal
	}
	header := r.Header.Clone()
	fulmardispatch.StripHeaders(header)
	c.request = &fulmardispatch.Request{
		Method: r.Method, URL: rest, Host: r.Host, Header: header,
		Idempotent: idempotent && c.key == "", Length: r.ContentLength,
	}
	return c, nil
}

// splitPath returns the pool's name and the path and query for the worker, as the caller wrote them.
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
		return "", nil, fulmarapi.NewRefusal(fulmarapi.ReasonBadHeader, "the path cannot be read")
	}
	return after[:end], rest, nil
}

// isIdempotent follows RFC 9110, section 9.2.2; methods that it does not name are taken as non-idempotent.
func isIdempotent(method string) (bool, *fulmarapi.Refusal) {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true, nil
	case http.MethodConnect, http.MethodTrace:
		return false, fulmarapi.NewRefusal(fulmarapi.ReasonBadMethod, "CONNECT and TRACE are not passed on")
	}
	return false, nil
}

func (c *call) parseHeader(header http.Header) *fulmarapi.Refusal {
	for _, name := range []string{
		fulmarapi.HeaderTimeout, fulmarapi.HeaderUrgency, fulmarapi.HeaderTeam, fulmarapi.HeaderIdempotencyKey,
	} {
		if len(header.Values(name)) > 1 {
			return badHeader(name, "is given more than once")
		}
	}
	c.team = header.Get(fulmarapi.HeaderTeam)
	if len(c.team) > teamMost {
		return badHeader(fulmarapi.HeaderTeam, "is too long")
	}
	c.key = header.Get(fulmarapi.HeaderIdempotencyKey)
	if len(c.key) > keyMost {
		return badHeader(fulmarapi.HeaderIdempotencyKey, "is too long")
	}
	if refusal := c.parseUrgency(header.Get(fulmarapi.HeaderUrgency)); refusal != nil {
		return refusal
	}
	return c.parseTimeout(header.Get(fulmarapi.HeaderTimeout))
}

func (c *call) parseUrgency(text string) *fulmarapi.Refusal {
	if text == "" {
		return nil
	}
	urgency, known := fulmarapi.ParseUrgency(text)
	if !known {
		return badHeader(fulmarapi.HeaderUrgency, "must be urgent, normal or slow")
	}
	c.urgency = urgency
	return nil
}

func (c *call) parseTimeout(text string) *fulmarapi.Refusal {
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || fulmarclock.Millis(millis) > timeoutMost {
		return badHeader(fulmarapi.HeaderTimeout, "must be milliseconds from 1 to 86400000")
	}
	c.timeout = fulmarclock.Millis(millis)
	return nil
}

func badHeader(name, detail string) *fulmarapi.Refusal {
	return fulmarapi.NewRefusal(fulmarapi.ReasonBadHeader, "header "+name+" "+detail)
}
