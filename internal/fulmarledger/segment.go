package fulmarledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// encodeSegment returns records as compressed JSON: a new owner reads them all,
// over a link that may be slow.
func encodeSegment(records []Record) ([]byte, error) {
	var buffer bytes.Buffer
	compressor, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, &fulmarjob.FormatError{What: "a segment", Cause: err}
	}
	if err := json.NewEncoder(compressor).Encode(records); err != nil {
		return nil, &fulmarjob.FormatError{What: "a segment", Cause: err}
	}
	if err := compressor.Close(); err != nil {
		return nil, &fulmarjob.FormatError{What: "a segment", Cause: err}
	}
	return buffer.Bytes(), nil
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
