package fulmarledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// segmentEncoder encodes one segment at a time. It reuses its compressor, because a
// new one takes more memory than most segments.
type segmentEncoder struct{ compressor *flate.Writer }

// encode returns records as compressed JSON. They are compressed because a new owner
// reads all segments, possibly over a slow link.
func (s *segmentEncoder) encode(records []Record) ([]byte, error) {
	var buffer bytes.Buffer
	if err := s.resetCompressor(&buffer); err != nil {
		return nil, &fulmarjob.FormatError{What: "a journal segment", Cause: err}
	}
	if err := json.NewEncoder(s.compressor).Encode(records); err != nil {
		return nil, &fulmarjob.FormatError{What: "a journal segment", Cause: err}
	}
	if err := s.compressor.Close(); err != nil {
		return nil, &fulmarjob.FormatError{What: "a journal segment", Cause: err}
	}
	return buffer.Bytes(), nil
}

// resetCompressor makes the compressor write to out.
func (s *segmentEncoder) resetCompressor(out io.Writer) error {
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
