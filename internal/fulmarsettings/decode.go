// Package fulmarsettings reads JSON with comments strictly and holds the
// daemon's own settings.
//
// Usage:
//
//	settings, err := fulmarsettings.LoadDaemon("fulmardrumd.jsonc")
//
// A syntax error, an unknown or repeated field and an impossible bound are each
// refused with the file, the line and the field.
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

// FieldError is the typed refusal of a document.
type FieldError struct {
	file   string
	line   int
	field  string
	detail string
}

// NewFieldError returns a refusal of a field; line zero means the whole document.
func NewFieldError(file string, line int, field, detail string) *FieldError {
	return &FieldError{file: file, line: line, field: field, detail: detail}
}

// Line returns the line of the field, counted from 1, or zero when there is none.
func (e *FieldError) Line() int { return e.line }

// Field returns the path of the field, with dots between its steps.
func (e *FieldError) Field() string { return e.field }

// Error returns file, line, field and cause.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: field %q: %s", e.file, e.line, e.field, e.detail)
}

// Decode parses data into target and returns the positions of its fields.
// Unknown and repeated fields are refused.
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

// ReadFile decodes the file at path.
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
		detail := fmt.Sprintf("a %s does not fit type %s", typeError.Value, typeError.Type)
		return NewFieldError(file, lineAt(data, typeError.Offset), typeError.Field, detail)
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
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

// Line returns the line of the field at path, or of its nearest parent.
func (p Positions) Line(path string) int {
	for {
		if line, found := p[path]; found {
			return line
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

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

// scanPositions walks the tokens of data and refuses repeated fields.
func scanPositions(file string, data []byte) (Positions, error) {
	w := &scanner{file: file, data: data, decoder: json.NewDecoder(bytes.NewReader(data)), positions: Positions{}}
	if err := w.scanValue(""); err != nil {
		return nil, err
	}
	if _, err := w.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, NewFieldError(file, lineAt(data, w.decoder.InputOffset()), "", "text after the end of the document")
	}
	return w.positions, nil
}

type scanner struct {
	file      string
	data      []byte
	decoder   *json.Decoder
	positions Positions
}

func (w *scanner) scanValue(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return NewFieldError(w.file, w.line(), path, err.Error())
	}
	switch token {
	case json.Delim('{'):
		return w.scanObject(path)
	case json.Delim('['):
		return w.scanArray(path)
	}
	return nil
}

func (w *scanner) scanObject(path string) error {
	for w.decoder.More() {
		name, err := w.decoder.Token()
		if err != nil {
			return NewFieldError(w.file, w.line(), path, err.Error())
		}
		child := joinPath(path, fmt.Sprint(name))
		if _, repeated := w.positions[child]; repeated {
			return NewFieldError(w.file, w.line(), child, "repeated field")
		}
		w.positions[child] = w.line()
		if err := w.scanValue(child); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return trace.Wrap(err)
}

func (w *scanner) scanArray(path string) error {
	for i := 0; w.decoder.More(); i++ {
		child := joinPath(path, fmt.Sprint(i))
		w.positions[child] = w.line()
		if err := w.scanValue(child); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return trace.Wrap(err)
}

func (w *scanner) line() int { return lineAt(w.data, w.decoder.InputOffset()) }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
