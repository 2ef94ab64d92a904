package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// Read passes each event of a file to f, in order. An incomplete last line, as a
// lab that was killed leaves, ends the history; an invalid line elsewhere is an
// error that names it.
func Read(path string, f func(Event)) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	defer file.Close()
	in := bufio.NewReaderSize(file, bufferSize)
	for lineNumber := 1; ; lineNumber++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("history: %w", err)
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return fmt.Errorf("history: %s:%d: %w", path, lineNumber, err)
		}
		f(e)
	}
}
