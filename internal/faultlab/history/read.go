package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// Read calls f with each event of a file, in order. It ignores an incomplete last line,
// which a killed lab leaves behind. An invalid line elsewhere is an error that names its
// number.
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
