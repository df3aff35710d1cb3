// Package fulmaroperator is the operators' side of a member: it shows the
// state of the fleet and takes changes of the configuration.
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
	"io"
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

// documentMost bounds an uploaded configuration, in bytes.
const documentMost = 512 << 10

// applyTime bounds one change of the configuration, in milliseconds.
const applyTime = 10 * fulmarclock.Second

// StatusSource returns this member's state.
type StatusSource interface {
	Status() fulmarapi.Status
}

// Options are what a server works with.
type Options struct {
	Clock   fulmarclock.Clock
	Store   fulmarplatform.Store
	Fleet   *fulmarfleet.Fleet
	Status  StatusSource
	Metrics http.Handler
	// Token, when set, is demanded as a bearer token.
	Token string
}

// Server serves operators over HTTP.
type Server struct {
	options Options
}

// NewServer returns a server.
func NewServer(options Options) *Server { return &Server{options: options} }

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/metrics", echo.WrapHandler(s.options.Metrics))
	g := e.Group("/v1", s.authenticate)
	g.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.options.Status.Status()) })
	g.GET("/vms", s.vms)
	g.GET("/config", s.config)
	g.PUT("/config", s.apply)
	return e
}

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if s.options.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.options.Token)) != 1 {
			return c.JSON(http.StatusUnauthorized, fulmarapi.OperatorError{Kind: "unauthorized", Detail: "a bearer token is needed"})
		}
		return next(c)
	}
}

func (s *Server) vms(c echo.Context) error {
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

func (s *Server) config(c echo.Context) error {
	record := s.options.Fleet.View().Record()
	document, err := json.MarshalIndent(record.Document, "", "  ")
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, fulmarapi.Config{
		Generation: record.Generation, Document: document, History: changesOf(record.History),
	})
}

func changesOf(history []fulmarconfig.Change) []fulmarapi.ConfigChange {
	changes := []fulmarapi.ConfigChange{}
	for _, change := range history {
		changes = append(changes, fulmarapi.ConfigChange{
			Generation: change.Generation, Author: change.Author, Reason: change.Reason, UnixMillis: change.UnixMillis,
		})
	}
	return changes
}

// apply takes a document made against a generation and answers once it is committed.
func (s *Server) apply(c echo.Context) error {
	var request fulmarapi.ConfigRequest
	body := io.LimitReader(c.Request().Body, documentMost)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		return c.JSON(http.StatusBadRequest, fulmarapi.OperatorError{Kind: "bad-request", Detail: err.Error()})
	}
	document, err := fulmarconfig.Parse(request.File, []byte(request.Text))
	if err != nil {
		return refuseDocument(c, err)
	}
	if request.Reason == "" || request.Author == "" {
		return c.JSON(http.StatusBadRequest, fulmarapi.OperatorError{Kind: "bad-request", Detail: "a change needs an author and a reason"})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTime.Duration())
	defer cancel()
	record, err := s.commit(ctx, request, document)
	if err != nil {
		return refuseChange(c, err)
	}
	s.options.Fleet.MergeRecord(record)
	return c.JSON(http.StatusOK, fulmarapi.ConfigAccepted{Generation: record.Generation})
}

func (s *Server) commit(ctx context.Context, request fulmarapi.ConfigRequest, document fulmarconfig.Document) (fulmarconfig.Record, error) {
	entry, err := s.options.Store.Get(ctx, fulmarconfig.RecordKey)
	if err != nil {
		return fulmarconfig.Record{}, err
	}
	current := fulmarconfig.Record{}
	if entry.Revision != 0 {
		if current, err = fulmarconfig.DecodeRecord(entry.Value); err != nil {
			return fulmarconfig.Record{}, err
		}
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
	settled, err := fulmarplatform.SwapSettled(ctx, s.options.Clock, s.options.Store, fulmarplatform.Swap{
		Key: fulmarconfig.RecordKey, Expected: entry.Revision, Value: value,
		Included: func(stored []byte) bool { return fulmarconfig.ContainsWrite(stored, change.WriteID) },
	})
	var conflict *fulmarplatform.ConflictError
	if errors.As(err, &conflict) {
		winner, decodeErr := fulmarconfig.DecodeRecord(settled.Value)
		if decodeErr != nil {
			return fulmarconfig.Record{}, decodeErr
		}
		return fulmarconfig.Record{}, fulmarconfig.NewStaleGenerationError(request.Generation, winner.Generation)
	}
	return next, err
}

func refuseDocument(c echo.Context, err error) error {
	var field *fulmarsettings.FieldError
	if errors.As(err, &field) {
		return c.JSON(http.StatusUnprocessableEntity, fulmarapi.OperatorError{
			Kind: "bad-document", Detail: err.Error(), Line: field.Line(), Field: field.Field(),
		})
	}
	return c.JSON(http.StatusUnprocessableEntity, fulmarapi.OperatorError{Kind: "bad-document", Detail: err.Error()})
}

func refuseChange(c echo.Context, err error) error {
	var old *fulmarconfig.StaleGenerationError
	var unknown *fulmarplatform.UnknownError
	switch {
	case errors.As(err, &old):
		return c.JSON(http.StatusConflict, fulmarapi.OperatorError{
			Kind: "old-generation", Detail: err.Error(), Generation: old.Current(),
		})
	case errors.As(err, &unknown):
		return c.JSON(http.StatusGatewayTimeout, fulmarapi.OperatorError{
			Kind: "unknown", Detail: "the change may have been accepted; read the history before a repeat: " + err.Error(),
		})
	}
	return c.JSON(http.StatusServiceUnavailable, fulmarapi.OperatorError{Kind: "unavailable", Detail: err.Error()})
}
