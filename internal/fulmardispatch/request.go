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

// Request is what a caller asked for, ready to be sent to a worker.
type Request struct {
	Method     string
	URL        *url.URL
	Host       string
	Header     http.Header
	Idempotent bool
	// Buffered is the whole body, when Stream is nil.
	Buffered []byte
	// Stream is a body that can be sent once; Length is -1 when it is not known.
	Stream io.Reader
	Length int64
	// StopStream ends a waiting read of Stream.
	StopStream func()
}

// CanRepeat tells whether the request may be sent again after bytes of it reached a worker.
func (r *Request) CanRepeat() bool { return r.Idempotent && r.Stream == nil }

// hopByHopHeaders belong to one connection and are not passed on (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// internalHeaders are set by this system only.
var internalHeaders = []string{
	fulmarapi.HeaderOutcome, fulmarapi.HeaderReason, fulmarapi.HeaderPool, fulmarapi.HeaderEpoch,
}

// StripHeaders removes from a header what belongs to the connection or to this system.
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

// httpRequest returns the request in the form that net/http writes.
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
	case r.Stream != nil:
		out.Body = io.NopCloser(stream)
		out.ContentLength = r.Length
	case len(r.Buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(r.Buffered))
		out.ContentLength = int64(len(r.Buffered))
	}
	return out
}
