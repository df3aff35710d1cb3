package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// serve serves a handler on a free port of the loopback address and returns its address.
func serve(handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// readJSON decodes a request's body. After a failure it has responded with 400.
func readJSON(w http.ResponseWriter, q *http.Request, target any) bool {
	if err := json.NewDecoder(q.Body).Decode(target); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}
