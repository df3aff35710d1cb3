// Package fulmarsettings parses JSON with comments strictly and defines the
// settings of fulmardrumd.
//
// Usage:
//
//	settings, err := fulmarsettings.LoadDaemon("fulmardrumd.jsonc")
//
// A syntax error, an unknown field, a repeated field and a value out of range
// are each reported as a *FieldError with the file, the line and the field.
package fulmarsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// FieldError reports an invalid field of a document, or a document that cannot be parsed.
type FieldError struct {
	file   string
	line   int
	field  string
	detail string
}

// NewFieldError returns an error for a field; line zero means the whole document.
func NewFieldError(file string, line int, field, detail string) *FieldError {
	return &FieldError{file: file, line: line, field: field, detail: detail}
}

// Line returns the line of the field, counted from 1, or zero if it is not known.
func (e *FieldError) Line() int { return e.line }

// Field returns the path of the field, with dots between nested names.
func (e *FieldError) Field() string { return e.field }

// Error returns the file, line, field and detail.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: field %q: %s", e.file, e.line, e.field, e.detail)
}

// Decode parses data into target and returns the positions of its fields. Unknown and
// repeated fields are errors. file is the name of the document in errors.
func Decode(file string, data []byte, target any) (Positions, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, NewFieldError(file, syntaxErrorLine(err), "", err.Error())
	}
	positions, err := scanPositions(file, standard)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, toFieldError(file, standard, positions, decoder, err)
	}
	return positions, nil
}

// ReadFile decodes the file at path into target as Decode does.
func ReadFile(path string, target any) (Positions, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Decode(path, data, target)
}

func toFieldError(file string, data []byte, positions Positions, decoder *json.Decoder, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		detail := fmt.Sprintf("a JSON %s cannot be decoded into type %s", typeError.Value, typeError.Type)
		return NewFieldError(file, lineAt(data, typeError.Offset), typeError.Field, detail)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return NewFieldError(file, positions.firstLine(name), name, "unknown field")
	}
	return NewFieldError(file, lineAt(data, decoder.InputOffset()), "", err.Error())
}

func syntaxErrorLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 0
	}
	return line
}

func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// Positions maps the path of each field to its line.
type Positions map[string]int

// Line returns the line of the field at path, or else of its nearest parent that has one, or 1.
func (p Positions) Line(path string) int {
	for {
		if line, found := p[path]; found {
			return line
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return 1
		}
		path = path[:dot]
	}
}

// firstLine returns the first line that has a field of this name at any depth, or zero.
func (p Positions) firstLine(name string) int {
	first := 0
	for path, line := range p {
		matches := path == name || strings.HasSuffix(path, "."+name)
		if matches && (first == 0 || line < first) {
			first = line
		}
	}
	return first
}

// scanPositions returns the line of each field in data and rejects repeated fields, which
// encoding/json accepts.
func scanPositions(file string, data []byte) (Positions, error) {
	s := &scanner{file: file, data: data, decoder: json.NewDecoder(bytes.NewReader(data)), positions: Positions{}}
	if err := s.scanValue(""); err != nil {
		return nil, err
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, NewFieldError(file, lineAt(data, s.decoder.InputOffset()), "", "unexpected text after the end of the document")
	}
	return s.positions, nil
}

// scanner records the line of each field while it reads the tokens of a document.
type scanner struct {
	file      string
	data      []byte
	decoder   *json.Decoder
	positions Positions
}

func (s *scanner) scanValue(path string) error {
	token, err := s.decoder.Token()
	if err != nil {
		return NewFieldError(s.file, s.line(), path, err.Error())
	}
	switch token {
	case json.Delim('{'):
		return s.scanObject(path)
	case json.Delim('['):
		return s.scanArray(path)
	}
	return nil
}

func (s *scanner) scanObject(path string) error {
	for s.decoder.More() {
		name, err := s.decoder.Token()
		if err != nil {
			return NewFieldError(s.file, s.line(), path, err.Error())
		}
		child := joinPath(path, fmt.Sprint(name))
		if _, repeated := s.positions[child]; repeated {
			return NewFieldError(s.file, s.line(), child, "repeated field")
		}
		s.positions[child] = s.line()
		if err := s.scanValue(child); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return trace.Wrap(err)
}

func (s *scanner) scanArray(path string) error {
	for i := 0; s.decoder.More(); i++ {
		child := joinPath(path, fmt.Sprint(i))
		s.positions[child] = s.line()
		if err := s.scanValue(child); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return trace.Wrap(err)
}

func (s *scanner) line() int { return lineAt(s.data, s.decoder.InputOffset()) }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
