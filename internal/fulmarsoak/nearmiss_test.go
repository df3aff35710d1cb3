package fulmarsoak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

// nearMisses count what came before violated guarantees in the past, by the lines of the members' logs.
type nearMisses struct {
	Scenario   string         `json:"scenario"`
	Seed       string         `json:"seed"`
	Runs       int            `json:"runs"`
	Counts     map[string]int `json:"counts"`
	Violations []string       `json:"violations,omitempty"`
}

// nearMissLines are the beginnings of the messages that are counted.
var nearMissLines = []string{
	"run ended as done after its task was placed again",
	"acknowledging the end of a run although a start of its task may still be executed",
	"task placed although a start of an earlier run may still be executed",
	"stopping unexpected run",
}

// idleLapse counts runs that are allowed only as a lease also lapses while nothing is running.
const idleLapse = "run started after an end that was acknowledged after a lapse without runs"

// reportNearMisses logs the near misses of the seed, and appends them to a file beside the kept logs.
func (s *soak) reportNearMisses() {
	n := nearMisses{Scenario: s.scenario.name, Seed: s.t.Name(), Runs: len(s.rig.Runs()), Counts: map[string]int{}, Violations: s.violations}
	for _, m := range s.members {
		countNearMisses(n.Counts, m.log)
	}
	if count := fulmarrig.CountRunsAfterIdleLapses(s.rig.Runs()); count > 0 {
		n.Counts[idleLapse] = count
	}
	s.t.Logf("near misses %v, violations %d", n.Counts, len(n.Violations))
	if *logs == "" {
		return
	}
	line, err := json.Marshal(n)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	appendLine(filepath.Join(*logs, "near-misses.jsonl"), string(line)+"\n")
	s.logRuns()
}

// logRuns writes all runs beside the kept logs, one on a line.
func (s *soak) logRuns() {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, r := range s.rig.Runs() {
		quicktest.Assert(s.t, encoder.Encode(r), quicktest.IsNil)
	}
	quicktest.Assert(s.t, os.WriteFile(filepath.Join(s.directory, "runs.jsonl"), lines.Bytes(), 0o600), quicktest.IsNil)
}

// countNearMisses counts the messages of a log; those with a reason separately for each.
func countNearMisses(counts map[string]int, path string) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		for _, message := range nearMissLines {
			if strings.Contains(lines.Text(), message) {
				counts[message+reasonIn(lines.Text())]++
			}
		}
	}
}

// reasonIn returns the quoted value of the field "why" in a log line, if there is one.
func reasonIn(line string) string {
	_, rest, found := strings.Cut(line, `why="`)
	if !found {
		return ""
	}
	reason, _, _ := strings.Cut(rest, `"`)
	return ": " + reason
}
