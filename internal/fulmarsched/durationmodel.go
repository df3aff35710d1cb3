package fulmarsched

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	// modelDecay is the factor by which the weight of earlier runs shrinks with each new run.
	modelDecay = 0.995
	// modelRecordInterval is the time between two journal records of the duration models.
	modelRecordInterval = 2 * fulmarclock.Second
	// priorRuns is the weight, in runs, of the prior assumption that declared durations are right.
	priorRuns = 6.0
	// priorVariance is the variance of the logarithm of the declared duration under that
	// assumption.
	priorVariance = 0.25
)

// durationModel predicts the duration of a run from its declared duration, by a weighted linear
// regression of the logarithms. The less the declared durations correlate with the actual ones,
// the closer the predictions are to the mean duration.
type durationModel struct {
	weight       float64
	meanDeclared float64
	meanActual   float64
	// variance and covariance are weighted sums of squared deviations from the means.
	variance   float64
	covariance float64
	// dirty means that the journal does not hold the newest values.
	dirty bool
}

// modelKeyPrefix is the prefix of the journal keys of duration models.
const modelKeyPrefix = "f/"

// modelRecord is the journal record of a duration model.
type modelRecord struct {
	Weight     float64 `json:"w"`
	Declared   float64 `json:"d"`
	Actual     float64 `json:"t"`
	Variance   float64 `json:"v"`
	Covariance float64 `json:"c"`
}

func (m *durationModel) record() modelRecord {
	return modelRecord{m.weight, m.meanDeclared, m.meanActual, m.variance, m.covariance}
}

// restoreModels loads the duration models of previous owners.
func (s *Scheduler) restoreModels(records []Record) error {
	for _, r := range records {
		key, found := strings.CutPrefix(r.Key, modelKeyPrefix)
		if !found {
			continue
		}
		var record modelRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			return &fulmarjob.FormatError{What: r.Key, Cause: err}
		}
		s.durationModels[key] = &durationModel{weight: record.Weight, meanDeclared: record.Declared, meanActual: record.Actual, variance: record.Variance, covariance: record.Covariance}
	}
	return nil
}

// changedModelRecords returns the records of the models that changed, at most once per
// modelRecordInterval.
func (s *Scheduler) changedModelRecords() []Record {
	if s.now < s.modelsRecordedAt+modelRecordInterval {
		return nil
	}
	s.modelsRecordedAt = s.now
	var records []Record
	for _, key := range sortedKeys(s.durationModels) {
		if model := s.durationModels[key]; model.dirty {
			model.dirty = false
			records = append(records, encodeRecord(modelKeyPrefix+key, model.record()))
		}
	}
	return records
}

// observe adds one run.
func (m *durationModel) observe(declared, actual fulmarclock.Millis) {
	m.dirty = true
	x, y := logMillis(declared), logMillis(actual)
	if m.weight == 0 {
		// The model starts with the assumption that declared durations are right.
		m.weight, m.meanDeclared, m.meanActual = priorRuns, x, x
		m.variance, m.covariance = priorRuns*priorVariance, priorRuns*priorVariance
	}
	m.weight = m.weight*modelDecay + 1
	m.variance *= modelDecay
	m.covariance *= modelDecay
	dx := x - m.meanDeclared
	m.meanDeclared += dx / m.weight
	m.meanActual += (y - m.meanActual) / m.weight
	m.variance += dx * (x - m.meanDeclared)
	m.covariance += dx * (y - m.meanActual)
}

// predict returns the expected duration of a run.
func (m *durationModel) predict(declared fulmarclock.Millis) fulmarclock.Millis {
	if m == nil || m.weight == 0 || m.variance == 0 {
		return declared
	}
	slope := min(max(m.covariance/m.variance, 0), 1)
	return fulmarclock.Millis(math.Exp(m.meanActual + slope*(logMillis(declared)-m.meanDeclared)))
}

func logMillis(duration fulmarclock.Millis) float64 { return math.Log(float64(max(duration, 1))) }
