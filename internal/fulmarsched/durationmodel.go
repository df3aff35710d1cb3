package fulmarsched

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	// forecastDecay is the weight that older durations keep at each new one.
	modelDecay = 0.995
	// learnedEvery is the time between two records of what was learned.
	modelRecordInterval = 2 * fulmarclock.Second
	// priorRuns is the weight of the assumption that declarations are right, in runs.
	priorRuns = 6.0
	// priorSpread is the variance of the logarithm of a declaration under that assumption.
	priorVariance = 0.25
)

// forecast learns how the duration of runs follows from their declared duration:
// a weighted linear regression of the logarithms. Declarations that say little
// are drawn to the mean duration.
type durationModel struct {
	weight       float64
	meanDeclared float64
	meanTook     float64
	// variance and covariance are weighted sums of squares about the means.
	variance   float64
	covariance float64
	// dirty tells that the journal does not hold the newest figures.
	dirty bool
}

// forecastKey is the prefix of the records of forecasts.
const modelKeyPrefix = "f/"

// forecastRecord is a forecast in the journal.
type modelRecord struct {
	Weight     float64 `json:"w"`
	Declared   float64 `json:"d"`
	Took       float64 `json:"t"`
	Variance   float64 `json:"v"`
	Covariance float64 `json:"c"`
}

func (m *durationModel) record() modelRecord {
	return modelRecord{m.weight, m.meanDeclared, m.meanTook, m.variance, m.covariance}
}

// restoreForecasts takes in what the owners before have learned.
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
		s.durationModels[key] = &durationModel{weight: record.Weight, meanDeclared: record.Declared, meanTook: record.Took, variance: record.Variance, covariance: record.Covariance}
	}
	return nil
}

// forecastRecords returns the forecasts that have changed, now and then.
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

// learn takes in one run.
func (m *durationModel) observe(declared, took fulmarclock.Millis) {
	m.dirty = true
	x, y := logMillis(declared), logMillis(took)
	if m.weight == 0 {
		// The first run starts from the assumption that declarations are right.
		m.weight, m.meanDeclared, m.meanTook = priorRuns, x, x
		m.variance, m.covariance = priorRuns*priorVariance, priorRuns*priorVariance
	}
	m.weight = m.weight*modelDecay + 1
	m.variance *= modelDecay
	m.covariance *= modelDecay
	dx := x - m.meanDeclared
	m.meanDeclared += dx / m.weight
	m.meanTook += (y - m.meanTook) / m.weight
	m.variance += dx * (x - m.meanDeclared)
	m.covariance += dx * (y - m.meanTook)
}

// expect returns the expected duration of a run.
func (m *durationModel) predict(declared fulmarclock.Millis) fulmarclock.Millis {
	if m == nil || m.weight == 0 || m.variance == 0 {
		return declared
	}
	slope := min(max(m.covariance/m.variance, 0), 1)
	return fulmarclock.Millis(math.Exp(m.meanTook + slope*(logMillis(declared)-m.meanDeclared)))
}

func logMillis(duration fulmarclock.Millis) float64 { return math.Log(float64(max(duration, 1))) }
