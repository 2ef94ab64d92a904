package wal

// What tests outside the package call directly, without the log's goroutine.

func (l *Log) AppendNow(r *Record) error     { return l.store.appendRecords([]*Record{r})[0] }
func (l *Log) AppendAll(r []*Record) []error { return l.store.appendRecords(r) }
func (l *Log) CheckpointNow() error          { return l.store.finishCheckpoint() }
func (l *Log) Compact()                      { l.store.compact() }
func (l *Log) Close()                        { l.store.close() }
