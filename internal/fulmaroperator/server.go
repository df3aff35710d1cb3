// Package fulmaroperator is the HTTP API of a member for operators: it reports the
// state of the fleet and accepts changes of the configuration.
//
// Usage:
//
//	server := fulmaroperator.NewServer(options)
//	http.Serve(listener, server.Handler())
package fulmaroperator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// maxRequestBytes bounds the body of a request to change the configuration.
const maxRequestBytes = 512 << 10

// applyTimeout bounds the commit of a change of the configuration, in milliseconds.
const applyTimeout = 10 * fulmarclock.Second

// StatusSource reports this member's state.
type StatusSource interface {
	Status() fulmarapi.Status
}

// Options are the dependencies and settings of a Server.
type Options struct {
	Clock   fulmarclock.Clock
	Store   fulmarplatform.Store
	Fleet   *fulmarfleet.Fleet
	Status  StatusSource
	Metrics http.Handler
	// Token is the bearer token that /v1 requests must carry; if empty, none is required.
	Token string
}

// Server handles the HTTP requests of operators.
type Server struct {
	options Options
}

// NewServer returns a server with these options.
func NewServer(options Options) *Server { return &Server{options: options} }

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/metrics", echo.WrapHandler(s.options.Metrics))
	g := e.Group("/v1", s.authenticate)
	g.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.options.Status.Status()) })
	g.GET("/vms", s.listVMs)
	g.GET("/config", s.getConfig)
	g.PUT("/config", s.applyConfig)
	return e
}

// authenticate rejects requests without the bearer token; it compares in constant time, so
// that the response time does not reveal the token.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if s.options.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.options.Token)) != 1 {
			return c.JSON(http.StatusUnauthorized, fulmarapi.OperatorError{Kind: "unauthorized", Detail: "a valid bearer token is required"})
		}
		return next(c)
	}
}

// listVMs returns the VM list with the pool that each VM is assigned to.
func (s *Server) listVMs(c echo.Context) error {
	view := s.options.Fleet.View()
	table, _ := view.Table()
	reports := []fulmarapi.VMReport{}
	for _, vm := range view.VMs().VMs {
		assignment := table.VMs[vm.ID]
		reports = append(reports, fulmarapi.VMReport{
			ID: vm.ID, Address: vm.Address, DataCentre: vm.DataCentre, Rack: vm.Rack,
			State: string(vm.State), Pool: assignment.Pool, Epoch: assignment.Epoch,
		})
	}
	return c.JSON(http.StatusOK, reports)
}

// getConfig returns the current configuration with its history.
func (s *Server) getConfig(c echo.Context) error {
	record := s.options.Fleet.View().Record()
	document, err := json.MarshalIndent(record.Document, "", "  ")
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, fulmarapi.Config{
		Generation: record.Generation, Document: document, History: configChanges(record.History),
	})
}

func configChanges(history []fulmarconfig.Change) []fulmarapi.ConfigChange {
	changes := []fulmarapi.ConfigChange{}
	for _, change := range history {
		changes = append(changes, fulmarapi.ConfigChange{
			Generation: change.Generation, Author: change.Author, Reason: change.Reason, UnixMillis: change.UnixMillis,
		})
	}
	return changes
}

// applyConfig commits a document that is based on a given generation, and responds once it is committed.
func (s *Server) applyConfig(c echo.Context) error {
	var request fulmarapi.ConfigRequest
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		return writeBodyError(c, err)
	}
	document, err := fulmarconfig.Parse(request.File, []byte(request.Text))
	if err != nil {
		return writeDocumentError(c, err)
	}
	if request.Reason == "" || request.Author == "" {
		return c.JSON(http.StatusBadRequest, fulmarapi.OperatorError{Kind: "bad-request", Detail: "author and reason must not be empty"})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout.Duration())
	defer cancel()
	record, err := s.commitConfig(ctx, request, document)
	if err != nil {
		return writeCommitError(c, err)
	}
	s.options.Fleet.MergeRecord(record)
	return c.JSON(http.StatusOK, fulmarapi.ConfigAccepted{Generation: record.Generation})
}

// commitConfig writes the next generation with document, unless the current generation is not
// the one that the request is based on.
func (s *Server) commitConfig(ctx context.Context, request fulmarapi.ConfigRequest, document fulmarconfig.Document) (fulmarconfig.Record, error) {
	current, revision, err := s.readConfig(ctx)
	if err != nil {
		return fulmarconfig.Record{}, err
	}
	if current.Generation != request.Generation {
		return fulmarconfig.Record{}, fulmarconfig.NewStaleGenerationError(request.Generation, current.Generation)
	}
	change := fulmarconfig.Change{
		Author: request.Author, Reason: request.Reason, UnixMillis: s.options.Clock.Unix(), WriteID: uuid.NewString(),
	}
	next := fulmarconfig.Next(current, document, change)
	value, err := next.Encode()
	if err != nil {
		return fulmarconfig.Record{}, err
	}
	stored, err := fulmarplatform.SwapWithRetry(ctx, s.options.Clock, s.options.Store, fulmarplatform.Swap{
		Key: fulmarconfig.RecordKey, Expected: revision, Value: value,
		Contains: func(data []byte) bool { return fulmarconfig.ContainsWrite(data, change.WriteID) },
	})
	var conflict *fulmarplatform.ConflictError
	if errors.As(err, &conflict) {
		return fulmarconfig.Record{}, lostRaceError(request.Generation, stored)
	}
	return next, err
}

// readConfig returns the stored configuration and its revision, both zero if there is none.
func (s *Server) readConfig(ctx context.Context) (fulmarconfig.Record, fulmarplatform.Revision, error) {
	entry, err := s.options.Store.Get(ctx, fulmarconfig.RecordKey)
	if err != nil || entry.Revision == 0 {
		return fulmarconfig.Record{}, 0, err
	}
	record, err := fulmarconfig.DecodeRecord(entry.Value)
	return record, entry.Revision, err
}

// lostRaceError returns the error of a change that another one, now stored, has preceded.
func lostRaceError(base int64, stored fulmarplatform.Entry) error {
	winner, err := fulmarconfig.DecodeRecord(stored.Value)
	if err != nil {
		return err
	}
	return fulmarconfig.NewStaleGenerationError(base, winner.Generation)
}

// writeBodyError responds to a body that is too large or not valid JSON.
func writeBodyError(c echo.Context, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := fmt.Sprintf("the request body is larger than %d bytes", tooLarge.Limit)
		return c.JSON(http.StatusRequestEntityTooLarge, fulmarapi.OperatorError{Kind: "bad-request", Detail: detail})
	}
	return c.JSON(http.StatusBadRequest, fulmarapi.OperatorError{Kind: "bad-request", Detail: err.Error()})
}

// writeDocumentError responds to a document that is not valid.
func writeDocumentError(c echo.Context, err error) error {
	var field *fulmarsettings.FieldError
	if errors.As(err, &field) {
		return c.JSON(http.StatusUnprocessableEntity, fulmarapi.OperatorError{
			Kind: "bad-document", Detail: err.Error(), Line: field.Line(), Field: field.Field(),
		})
	}
	return c.JSON(http.StatusUnprocessableEntity, fulmarapi.OperatorError{Kind: "bad-document", Detail: err.Error()})
}

// writeCommitError responds to a change that was not committed, or may not have been.
func writeCommitError(c echo.Context, err error) error {
	var stale *fulmarconfig.StaleGenerationError
	var unknown *fulmarplatform.UnknownOutcomeError
	switch {
	case errors.As(err, &stale):
		return c.JSON(http.StatusConflict, fulmarapi.OperatorError{
			Kind: "old-generation", Detail: err.Error(), Generation: stale.Current(),
		})
	case errors.As(err, &unknown):
		return c.JSON(http.StatusGatewayTimeout, fulmarapi.OperatorError{
			Kind: "unknown", Detail: "the change may have been committed; check the history before you retry: " + err.Error(),
		})
	}
	return c.JSON(http.StatusServiceUnavailable, fulmarapi.OperatorError{Kind: "unavailable", Detail: err.Error()})
}
