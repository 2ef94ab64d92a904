package wal

import "fmt"

// Repair opens a folder as a relay would, so that the consequences of corruption are
// decided and a valid checkpoint holds the rest. Corrupted files are quarantined within
// limit, in bytes. The caller holds the folder's lock. ErrInUse where the process that
// handed the log off still lives.
func Repair(dir string, limit int64) (*RecoveryReport, error) {
	s := newStore(Options{Dir: dir, Limit: limit, Durability: SurvivesPowerLoss})
	handoff, err := s.open()
	if err != nil {
		return nil, err
	}
	defer s.close()
	if handoff != nil {
		handoff.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrInUse)
	}
	s.resolveInFlight(func(int) bool { return true }, s.seq+1)
	if err := s.finishCheckpoint(); err != nil {
		return nil, err
	}
	return &s.recovery, nil
}
