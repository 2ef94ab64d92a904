package wal

import "fmt"

// Repair opens a folder as a relay would. It records the consequences of corruption and
// writes everything else into a valid checkpoint. It keeps corrupted files in quarantine
// as far as limit, the folder's limit in bytes, allows. The caller holds the folder's
// lock. It returns ErrInUse if the process that handed the log off is still alive.
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
