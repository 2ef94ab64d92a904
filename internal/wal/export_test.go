package wal

// What the tests of other packages drive by hand, without the goroutine.

func (l *Log) AppendNow(r *Record) error     { return l.c.append([]*Record{r})[0] }
func (l *Log) AppendAll(r []*Record) []error { return l.c.append(r) }
func (l *Log) CheckpointNow() error          { return l.c.finishCheckpoint() }
func (l *Log) Tidy()                         { l.c.tidy() }
func (l *Log) Shut()                         { l.c.shut() }
