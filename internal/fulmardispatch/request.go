package fulmardispatch

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// Request is a caller's request in the form in which it is sent to a worker.
type Request struct {
	Method     string
	URL        *url.URL
	Host       string
	Header     http.Header
	Idempotent bool
	// BufferedBody is the whole body if BodyStream is nil.
	BufferedBody []byte
	// BodyStream is a body that can be sent only once. BodyLength is its length in bytes, or -1 if unknown.
	BodyStream io.Reader
	BodyLength int64
	// StopBodyStream makes a pending read of BodyStream return; it may be nil.
	StopBodyStream func()
}

// IsRetryable reports whether the request may be sent again after bytes of it have reached a worker.
func (r *Request) IsRetryable() bool { return r.Idempotent && r.BodyStream == nil }

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// internalHeaders are set only by fulmardrum and its workers, so that a caller's values are not forwarded.
var internalHeaders = []string{
	fulmarapi.HeaderOutcome, fulmarapi.HeaderReason, fulmarapi.HeaderPool, fulmarapi.HeaderEpoch,
}

// StripHeaders removes the hop-by-hop headers, those named in Connection, and the internal headers.
func StripHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(header, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
	for _, name := range internalHeaders {
		delete(header, name)
	}
}

// httpRequest returns the request for a target as an http.Request. It sets an
// empty User-Agent if there is none, which keeps net/http from adding its own.
func (r *Request) httpRequest(target Target, stream io.Reader) *http.Request {
	header := r.Header.Clone()
	header[fulmarapi.HeaderPool] = []string{target.Pool}
	header[fulmarapi.HeaderEpoch] = []string{strconv.FormatInt(target.Epoch, 10)}
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method: r.Method, URL: r.URL, Host: r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch {
	case r.BodyStream != nil:
		out.Body = io.NopCloser(stream)
		out.ContentLength = r.BodyLength
	case len(r.BufferedBody) > 0:
		out.Body = io.NopCloser(bytes.NewReader(r.BufferedBody))
		out.ContentLength = int64(len(r.BufferedBody))
	}
	return out
}
