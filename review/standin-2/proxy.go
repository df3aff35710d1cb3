package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// startProxy puts a proxy before an executor. delay returns how long a call is held back, zero for not at
// all. A call that is held back gets no answer; it is delivered later to whatever serves at the address.
func (d *deployment) startProxy(e *executor, delay func(name string, c call) time.Duration) error {
	direct := e.address
	proxy, err := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var body bytes.Buffer
		var c call
		if _, err := body.ReadFrom(q.Body); err != nil || json.Unmarshal(body.Bytes(), &c) != nil {
			panic(http.ErrAbortHandler)
		}
		name := q.URL.Path[len("/fulmardrum/"):]
		if wait := delay(name, c); wait > 0 {
			time.AfterFunc(wait, func() {
				answer, err := deliver(direct, q, body.Bytes(), false)
				if err != nil {
					d.note("proxy can't deliver the late %s: %v", name, err)
					return
				}
				_ = answer.Body.Close()
				d.note("proxy has delivered the late %s: %s", name, answer.Status)
			})
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		answer, err := deliver(direct, q, body.Bytes(), true)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = answer.Body.Close() }()
		var text bytes.Buffer
		if _, err := text.ReadFrom(answer.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.StatusCode)
		_, _ = w.Write(text.Bytes())
	}))
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.proxied = proxy
	e.mu.Unlock()
	return nil
}

// deliver passes a call on, and gives up when its caller does if that still waits.
func deliver(address string, q *http.Request, body []byte, callerWaits bool) (*http.Response, error) {
	passed, err := http.NewRequest(q.Method, "http://"+address+q.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if callerWaits {
		passed = passed.WithContext(q.Context())
	}
	passed.Header = q.Header.Clone()
	return http.DefaultTransport.RoundTrip(passed)
}
