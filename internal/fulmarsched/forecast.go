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
	forecastDecay = 0.995
	// learnedEvery is the time between two records of what was learned.
	learnedEvery = 2 * fulmarclock.Second
	// priorRuns is the weight of the assumption that declarations are right, in runs.
	priorRuns = 6.0
	// priorSpread is the variance of the logarithm of a declaration under that assumption.
	priorSpread = 0.25
)

// forecast learns how the duration of runs follows from their declared duration:
// a weighted linear regression of the logarithms. Declarations that say little
// are drawn to the mean duration.
type forecast struct {
	weight   float64
	declared float64
	took     float64
	// variance and covariance are weighted sums of squares about the means.
	variance   float64
	covariance float64
	// dirty tells that the journal does not hold the newest figures.
	dirty bool
}

// forecastKey is the prefix of the records of forecasts.
const forecastKey = "f/"

// forecastRecord is a forecast in the journal.
type forecastRecord struct {
	Weight     float64 `json:"w"`
	Declared   float64 `json:"d"`
	Took       float64 `json:"t"`
	Variance   float64 `json:"v"`
	Covariance float64 `json:"c"`
}

func (f *forecast) record() forecastRecord {
	return forecastRecord{f.weight, f.declared, f.took, f.variance, f.covariance}
}

// restoreForecasts takes in what the owners before have learned.
func (s *Scheduler) restoreForecasts(records []Record) error {
	for _, r := range records {
		key, found := strings.CutPrefix(r.Key, forecastKey)
		if !found {
			continue
		}
		var w forecastRecord
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return &fulmarjob.FormatError{What: r.Key, Cause: err}
		}
		s.learned[key] = &forecast{weight: w.Weight, declared: w.Declared, took: w.Took, variance: w.Variance, covariance: w.Covariance}
	}
	return nil
}

// forecastRecords returns the forecasts that have changed, now and then.
func (s *Scheduler) forecastRecords() []Record {
	if s.now < s.learnedAt+learnedEvery {
		return nil
	}
	s.learnedAt = s.now
	var records []Record
	for _, key := range sortedKeys(s.learned) {
		if f := s.learned[key]; f.dirty {
			f.dirty = false
			records = append(records, encode(forecastKey+key, f.record()))
		}
	}
	return records
}

// learn takes in one run.
func (f *forecast) learn(declared, took fulmarclock.Millis) {
	f.dirty = true
	x, y := logOf(declared), logOf(took)
	if f.weight == 0 {
		// The first run starts from the assumption that declarations are right.
		f.weight, f.declared, f.took = priorRuns, x, x
		f.variance, f.covariance = priorRuns*priorSpread, priorRuns*priorSpread
	}
	f.weight = f.weight*forecastDecay + 1
	f.variance *= forecastDecay
	f.covariance *= forecastDecay
	dx := x - f.declared
	f.declared += dx / f.weight
	f.took += (y - f.took) / f.weight
	f.variance += dx * (x - f.declared)
	f.covariance += dx * (y - f.took)
}

// expect returns the expected duration of a run.
func (f *forecast) expect(declared fulmarclock.Millis) fulmarclock.Millis {
	if f == nil || f.weight == 0 || f.variance == 0 {
		return declared
	}
	slope := min(max(f.covariance/f.variance, 0), 1)
	return fulmarclock.Millis(math.Exp(f.took + slope*(logOf(declared)-f.declared)))
}

func logOf(duration fulmarclock.Millis) float64 { return math.Log(float64(max(duration, 1))) }
