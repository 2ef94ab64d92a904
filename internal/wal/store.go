package wal

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"path/filepath"

	"plovershore/internal/clock"
)

// store is an open log without its goroutine. Its calls are synchronous. It is not safe
// for concurrent use.
type store struct {
	*state
	options   Options
	fs        FS
	logger    *slog.Logger
	dir       string // the folder of segments and checkpoints
	limit     int64  // maximum size of the state folder in bytes
	clock     logClock
	segment   segmentWriter
	syncer    syncer
	usage     diskUsage
	stampFile StampFile // nil until the folder is prepared

	batch         batch
	results       []error // result slice of appendRecords, for reuse
	spaceReserved bool    // records are written without a check of the space: see mergeHandoff

	pendingCheckpoint    *checkpointWriter // nil if none is being written
	checkpointRetryBytes int64             // minimum log size for the next checkpoint after one that failed

	ownerRecord     *Record        // this process's owner record, until it is written before the process's first other record
	inheritedPolicy []byte         // state.policySnapshot at the start, which the owner record then clears
	handoff         *handoffWriter // receives the records once the log belongs to the next process; nil before
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

// open recovers the contents of the folder and prepares it for writing. If the previous
// process is still alive, open returns its handoff log, and its attempts stay in flight.
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
	handoff, unmerged, err := s.openHandoff()
	if err != nil {
		return nil, err
	}
	if err := s.prepareFolder(); err != nil {
		return nil, err
	}
	s.inheritedPolicy = s.policySnapshot
	livingProcess := 0
	if handoff != nil {
		livingProcess = handoff.Process
	} else if err := s.mergeHandoff(unmerged); err != nil {
		return nil, err
	}
	s.becomeOwner(livingProcess)
	s.removeObsolete()
	s.checkpointAtStart()
	return handoff, nil
}

// recoverState reads the log's folder, or the log file of a legacy program, and logs what was
// found. It creates the state folder and, unless a legacy log has to be converted, the log's folder.
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

// logRecovery logs the corruption, the incomplete writes and the lost messages that were found.
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

// finishInterruptedWrites completes what an earlier process may have left unfinished: a
// conversion and, with SurvivesPowerLoss, the sync of records that were read at this start.
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

// prepareFolder prepares the folder so that this process can write to it.
func (s *store) prepareFolder() (err error) {
	if s.owner == (ownerID{}) {
		rand.Read(s.owner[:]) // never fails
		s.checksumSeed = s.owner.checksumSeed()
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

// becomeOwner makes this process the owner of the log. Attempts in flight get unknown
// outcomes, except for those of the previous process if that is still alive.
func (s *store) becomeOwner(livingProcess int) {
	s.resolveInFlight(func(process int) bool { return process != livingProcess }, s.seq+1)
	s.process++
	s.ownerRecord = &Record{Kind: KindOwner, ID: NoMessage, Process: s.process, HandoffOffset: s.handoffOffset, livingProcess: livingProcess}
}

func (s *store) removeObsolete() {
	for _, name := range s.obsolete {
		s.removeFile(name)
	}
	s.obsolete = nil
}

// maxSegmentsAtStart is the number of segments above which a start begins a checkpoint.
const maxSegmentsAtStart = 2

// checkpointAtStart begins a checkpoint if the log is long. If the log was corrupted, it
// finishes the checkpoint at once, so that the consequences of the corruption are recorded
// before any later record depends on them.
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
