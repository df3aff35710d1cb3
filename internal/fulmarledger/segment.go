package fulmarledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// segmentEncoder encodes segments one after another. Its compressor is kept, as a
// new one takes more memory than most segments.
type segmentEncoder struct{ compressor *flate.Writer }

// encode returns records as compressed JSON: a new owner reads them all, over a
// link that may be slow.
func (s *segmentEncoder) encode(records []Record) ([]byte, error) {
	var buffer bytes.Buffer
	if err := s.open(&buffer); err != nil {
		return nil, &fulmarjob.FormatError{What: "a segment", Cause: err}
	}
	if err := json.NewEncoder(s.compressor).Encode(records); err != nil {
		return nil, &fulmarjob.FormatError{What: "a segment", Cause: err}
	}
	if err := s.compressor.Close(); err != nil {
		return nil, &fulmarjob.FormatError{What: "a segment", Cause: err}
	}
	return buffer.Bytes(), nil
}

func (s *segmentEncoder) open(out io.Writer) error {
	if s.compressor != nil {
		s.compressor.Reset(out)
		return nil
	}
	var err error
	s.compressor, err = flate.NewWriter(out, flate.BestSpeed)
	return err
}

func decodeSegment(key string, value []byte) ([]Record, error) {
	var records []Record
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(value)))
	if err != nil {
		return nil, &fulmarjob.FormatError{What: key, Cause: err}
	}
	if err := json.Unmarshal(plain, &records); err != nil {
		return nil, &fulmarjob.FormatError{What: key, Cause: err}
	}
	return records, nil
}
