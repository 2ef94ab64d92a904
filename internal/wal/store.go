package wal

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"path/filepath"

	"plovershore/internal/clock"
)

// store is an open log without its goroutine: each call does one thing and returns. It is
// for one goroutine at a time.
type store struct {
	*state
	options   Options
	fs        FS
	logger    *slog.Logger
	dir       string // of the segments
	limit     int64  // bytes that the folder may take up
	clock     logClock
	segment   segmentWriter
	syncer    syncer
	usage     diskUsage
	stampFile StampFile // nil until the folder is ready

	batch         batch
	results       []error // of appendRecords
	spaceReserved bool    // what is written takes up space that is counted already

	pendingCheckpoint    *checkpointWriter // nil where none is being written
	checkpointRetryBytes int64             // how long the log has to be for a checkpoint after one that failed

	ownerRecord     *Record        // of this process, until it is written ahead of its first record
	inheritedPolicy []byte         // state.policySnapshot at the start; the owner record clears that one
	handoff         *handoffWriter // where records go once the log belongs to the next process; else nil
}

func newStore(o Options) *store {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.Clock == nil {
		o.Clock = clock.Read
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &store{
		options: o,
		fs:      o.FS,
		logger:  o.Log,
		dir:     filepath.Join(o.Dir, FolderName),
		limit:   o.Limit,
		syncer:  syncer{enabled: o.Durability == SurvivesPowerLoss, fs: o.FS, logger: o.Log, onFailure: o.OnFailure},
		usage:   newDiskUsage(),
		batch:   batch{pending: map[string]bool{}},
	}
}

// open recovers what the folder holds and makes it ready. Where the process before still
// lives, its handoff log is returned, and its attempts stay in flight.
func (s *store) open() (handoff *HandoffLog, err error) {
	if err := s.recoverState(); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if err := s.finishInterruptedWrites(); err != nil {
		return nil, err
	}
	handoff, late, err := s.openHandoff()
	if err != nil {
		return nil, err
	}
	if err := s.prepareFolder(); err != nil {
		return nil, err
	}
	s.inheritedPolicy = s.policySnapshot
	living := 0
	if handoff != nil {
		living = handoff.Process
	} else if err := s.mergeHandoff(late); err != nil {
		return nil, err
	}
	s.takeOwnership(living)
	s.removeObsolete()
	s.checkpointAtStart()
	return handoff, nil
}

// recoverState reads the folder, or the file of a legacy program.
func (s *store) recoverState() (err error) {
	if s.state, err = readState(s.fs, s.options.Dir); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			s.closeFiles()
		}
	}()
	s.clock = newLogClock(s.options.Clock, s.clockAnchor, s.lastTime)
	if err := s.fs.MakeDir(s.options.Dir); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if !s.recovery.OlderFormat {
		if err := s.makeLogFolder(); err != nil {
			return fmt.Errorf("wal: %w", err)
		}
	}
	s.logRecovery()
	return nil
}

func (s *store) makeLogFolder() error {
	if err := s.fs.MakeDir(s.dir); err != nil {
		return err
	}
	if !s.syncer.enabled {
		return nil
	}
	return s.fs.SyncDir(s.options.Dir)
}

// logRecovery names what was found corrupted.
func (s *store) logRecovery() {
	for _, c := range s.recovery.Corruptions {
		s.logCorruption(c)
	}
	for _, c := range s.recovery.Torn {
		s.logger.Warn("incomplete write dropped",
			"file", c.File, "offset", c.Offset, "bytes", c.Bytes, "reason", c.Reason, "ids", c.IDs)
	}
	if len(s.recovery.LostIDs) > 0 {
		s.logger.Error("messages lost", "ids", s.recovery.LostIDs)
	}
}

func (s *store) logCorruption(c Corruption) {
	s.logger.Error("log corrupted",
		"file", c.File, "offset", c.Offset, "bytes", c.Bytes, "reason", c.Reason, "affected", c.Affected, "ids", c.IDs)
}

// finishInterruptedWrites completes what an earlier process may have left half done: a
// conversion, and, with SurvivesPowerLoss, writes that were read here and never synced.
func (s *store) finishInterruptedWrites() error {
	if s.recovery.OlderFormat {
		return nil
	}
	for _, suffix := range []string{temporarySuffix, legacySuffix, secondLegacySuffix} {
		if err := s.fs.Remove(s.dir + suffix); err != nil {
			return fmt.Errorf("wal: %w", err)
		}
	}
	for _, f := range s.files {
		if err := s.syncer.syncFile(f); err != nil {
			return err
		}
	}
	return s.syncer.syncDir(s.dir)
}

// prepareFolder makes the folder ready for this process to write to.
func (s *store) prepareFolder() (err error) {
	if s.owner == (ownerID{}) {
		rand.Read(s.owner[:]) // never fails
		s.salt = s.owner.salt()
	}
	if s.recovery.OlderFormat {
		if err := s.convertLegacy(); err != nil {
			return err
		}
	}
	if s.stampFile, err = s.fs.OpenStampFile(filepath.Join(s.dir, stampName)); err != nil {
		s.logger.Warn("stamp file not opened", "err", err)
		s.stampFile = noStampFile{}
	}
	s.usage, err = countUsage(s.fs, s.options.Dir, s.dir)
	return err
}

// takeOwnership makes this process the log's owner. Attempts of processes other than the
// living one have unknown outcomes.
func (s *store) takeOwnership(living int) {
	s.resolveInFlight(func(process int) bool { return process != living }, s.seq+1)
	s.process++
	s.ownerRecord = &Record{Kind: KindOwner, ID: NoMessage, Process: s.process, HandoffOffset: s.handoffOffset, livingProcess: living}
}

func (s *store) removeObsolete() {
	for _, name := range s.obsolete {
		s.removeFile(name)
	}
	s.obsolete = nil
}

// maxSegmentsAtStart is how many segments a start leaves without a checkpoint.
const maxSegmentsAtStart = 2

// checkpointAtStart begins a checkpoint where the log is long. Where it was corrupted, the
// checkpoint is finished at once: the consequences are recorded before anything is built
// on them.
func (s *store) checkpointAtStart() {
	var err error
	if len(s.recovery.Corruptions) > 0 {
		err = s.finishCheckpoint()
	} else if len(s.segments) > maxSegmentsAtStart || s.logBytes() > s.compactionThreshold() {
		err = s.startCheckpoint()
	}
	if err != nil {
		s.logCheckpointFailure(err)
	}
}

// close closes what is open.
func (s *store) close() {
	if s.handoff != nil {
		s.handoff.file.Close()
		s.handoff = nil
		return
	}
	if s.state != nil {
		s.closeFiles()
	}
	if s.stampFile == nil {
		return
	}
	if err := s.stampFile.Close(); err != nil {
		s.logger.Error("stamp file not closed", "err", err)
	}
	s.stampFile = nil
}
