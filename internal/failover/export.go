package failover

import (
	"errors"
	"os"

	"plovershore/internal/leader"
	"plovershore/internal/wal"
)

// minDiskMB is the smallest log that a relay may have.
const minDiskMB = 3

// exportLog takes the log out of its folder, under the folder's lock and the role's
// fencing token, and returns how many messages are pending in it. An export that is
// there already is the work of a leader before, which has fenced the folder: it is
// continued, though the relay may have come back since and started empty.
func exportLog(g *leader.Grant, spec Spec) (pending int, err error) {
	path := spec.exportPath()
	records, err := wal.ReadExport(path)
	if err == nil {
		return len(records), finishExport(spec.Folder, path)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	release, err := wal.LockFolder(spec.Folder)
	if err != nil {
		return 0, err
	}
	defer release()
	if err := leader.Fence(spec.Folder, Role, g.Token); err != nil {
		return 0, err
	}
	report, err := wal.Export(spec.Folder, path, int64(max(spec.DiskMB, minDiskMB))<<20)
	if err != nil {
		return 0, err
	}
	return report.Pending, nil
}

// finishExport completes an export that may have been interrupted. A folder that
// cannot be locked is left alone: a relay has come back and started empty there.
func finishExport(folder, path string) error {
	release, err := wal.LockFolder(folder)
	if err != nil {
		return nil
	}
	defer release()
	_, err = wal.FinishExport(folder, path)
	return err
}
