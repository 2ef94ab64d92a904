package wal

// The methods below give tests of package wal_test access to the store without the log's goroutine.

func (l *Log) AppendNow(r *Record) error     { return l.store.appendRecords([]*Record{r})[0] }
func (l *Log) AppendAll(r []*Record) []error { return l.store.appendRecords(r) }
func (l *Log) CheckpointNow() error          { return l.store.finishCheckpoint() }
func (l *Log) Compact()                      { l.store.compact() }
func (l *Log) Close()                        { l.store.close() }
