package failover

import (
	"errors"
	"os"

	"plovershore/internal/leader"
	"plovershore/internal/wal"
)

// minDiskMB is the smallest limit of the log's size, in MiB, that an export assumes, even if
// Spec.DiskMB is smaller or missing.
const minDiskMB = 3

// exportLog moves the log out of its folder into the export file and returns the number
// of pending messages in it. It holds the folder's lock and records the role's fencing
// token in the folder. If the export file exists already, a previous leader has made it
// and has fenced the folder; exportLog then completes that export, even though the relay
// may have restarted since and begun an empty log.
func exportLog(g *leader.Grant, spec Spec) (pending int, err error) {
	path := spec.exportPath()
	records, err := wal.ReadExport(path)
	if err == nil {
		return len(records), finishExport(spec.Folder, path)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	unlock, err := wal.LockFolder(spec.Folder)
	if err != nil {
		return 0, err
	}
	defer unlock()
	if err := leader.Fence(spec.Folder, Role, g.Token); err != nil {
		return 0, err
	}
	report, err := wal.Export(spec.Folder, path, int64(max(spec.DiskMB, minDiskMB))<<20)
	if err != nil {
		return 0, err
	}
	return report.Pending, nil
}

// finishExport completes an export that may have been interrupted. It does nothing if
// LockFolder fails, since it then assumes that the relay has restarted and begun an empty
// log there.
func finishExport(folder, path string) error {
	unlock, err := wal.LockFolder(folder)
	if err != nil {
		return nil
	}
	defer unlock()
	_, err = wal.FinishExport(folder, path)
	return err
}
