package wal

// What the tests of other packages drive by hand, without the goroutine.

func (l *Log) AppendNow(r *Record) error     { return l.store.appendRecords([]*Record{r})[0] }
func (l *Log) AppendAll(r []*Record) []error { return l.store.appendRecords(r) }
func (l *Log) CheckpointNow() error          { return l.store.finishCheckpoint() }
func (l *Log) Tidy()                         { l.store.compact() }
func (l *Log) Shut()                         { l.store.close() }
