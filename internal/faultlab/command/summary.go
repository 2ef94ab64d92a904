package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// addSummary adds the summary of a run to a file that holds several.
func addSummary(path string, s *Summary) error {
	summaries, err := readSummaries(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	text, err := json.MarshalIndent(append(summaries, s), "", " ")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	return os.Rename(path+".new", path)
}

// readSummaries reads a file that --json wrote, or a summary.json.
func readSummaries(path string) ([]*Summary, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var summaries []*Summary
	if json.Unmarshal(text, &summaries) == nil {
		return summaries, nil
	}
	single := &Summary{}
	if err := json.Unmarshal(text, single); err != nil || single.Stats == nil {
		return nil, usageError{fmt.Errorf("%s: neither a summary nor a file that --json wrote", path)}
	}
	return []*Summary{single}, nil
}
