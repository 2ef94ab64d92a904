package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
)

// Clients use a subset of RESP2: a command is an array of bulk strings. This package
// has its own parser, since it must check sizes before it allocates memory for them.

// Limits on the size of a command.
const (
	maxArguments       = 16
	maxArgumentBytes   = 4 << 10  // maximum size of each argument except the last
	maxBodyBytes       = 64 << 10 // maximum size of the last argument, a message's body
	maxSkippedBytes    = 1 << 20  // oversized arguments up to this size are skipped, and the connection stays open
	maxLengthLineBytes = 32       // maximum size of a line that holds a count or a length
	maxCommandBytes    = (maxArguments-1)*maxArgumentBytes + maxBodyBytes
)

// errArgumentTooLong reports a command that was skipped because an argument exceeds
// its limit. The position in the stream is then the start of the next command.
var errArgumentTooLong = errors.New("argument too long")

// commandReader reads one command. When the command has to be dropped, it reads the rest
// without keeping it.
type commandReader struct {
	in     *bufio.Reader
	memory *commandReservation
	// resume makes reads possible again after memory has interrupted one.
	resume  func()
	args    [][]byte
	dropErr error // why the arguments are dropped; nil while they are kept
}

// readCommand reads the arguments of one command into memory that it reserves. After
// an error other than errArgumentTooLong and errNoCommandMemory the position in the
// stream is unknown and the connection must be closed. It returns io.EOF only between two
// commands. resume is called after a read was interrupted because the reservation was
// revoked.
func readCommand(in *bufio.Reader, memory *commandReservation, resume func()) ([][]byte, error) {
	r := &commandReader{in: in, memory: memory, resume: resume}
	count, err := r.readLength('*')
	if err != nil {
		return nil, err
	}
	if count < 1 || count > maxArguments {
		return nil, fmt.Errorf("command of %d arguments", count)
	}
	for i := range count {
		limit := maxArgumentBytes
		if i == count-1 {
			limit = maxBodyBytes
		}
		if err := r.readArgument(limit); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if r.dropErr != nil {
		return nil, r.dropErr
	}
	return r.args, nil
}

// readArgument reads one bulk string. One longer than limit bytes makes the command be
// dropped.
func (r *commandReader) readArgument(limit int) error {
	size, err := r.readLength('$')
	if err != nil {
		return err
	}
	if size < 0 || size > maxSkippedBytes {
		return fmt.Errorf("argument of %d bytes", size)
	}
	if size > limit {
		r.drop(errArgumentTooLong)
	}
	if r.dropErr == nil {
		if err := r.memory.reserve(size); err != nil {
			r.drop(err)
		}
	}
	if err := r.readText(size); err != nil {
		return err
	}
	return r.readLineEnd()
}

// readText reads the bytes of an argument, and keeps them unless the command is dropped.
func (r *commandReader) readText(size int) error {
	read := 0
	if r.dropErr == nil {
		arg := make([]byte, size)
		n, err := io.ReadFull(r.in, arg)
		if err == nil {
			r.args = append(r.args, arg)
			return nil
		}
		if !r.isInterruption(err) {
			return err
		}
		r.drop(errNoCommandMemory)
		read = n
	}
	_, err := r.in.Discard(size - read)
	return err
}

// drop frees what was read of the command, and makes the rest be read without keeping it.
// The first reason counts.
func (r *commandReader) drop(reason error) {
	if r.dropErr != nil {
		return
	}
	r.dropErr, r.args = reason, nil
	r.memory.release()
	if r.memory.wasRevoked() {
		r.resume()
	}
}

// isInterruption reports whether a read has failed because the command's memory was revoked.
func (r *commandReader) isInterruption(err error) bool {
	return r.dropErr == nil && errors.Is(err, os.ErrDeadlineExceeded) && r.memory.wasRevoked()
}

// readByte reads one byte, also if that is interrupted.
func (r *commandReader) readByte() (byte, error) {
	b, err := r.in.ReadByte()
	if r.isInterruption(err) {
		r.drop(errNoCommandMemory)
		return r.in.ReadByte()
	}
	return b, err
}

// readLineEnd reads the CR LF after a bulk string.
func (r *commandReader) readLineEnd() error {
	for _, want := range []byte("\r\n") {
		b, err := r.readByte()
		if err != nil {
			return err
		}
		if b != want {
			return errors.New("argument without its end")
		}
	}
	return nil
}

// readLength reads a line that consists of the type byte kind and a number, and returns
// the number.
func (r *commandReader) readLength(kind byte) (int, error) {
	var line [maxLengthLineBytes]byte
	for n := range line {
		b, err := r.readByte()
		if err != nil {
			if n > 0 {
				err = unexpectedEOF(err)
			}
			return 0, err
		}
		if line[n] = b; b != '\n' {
			continue
		}
		if n < 2 || line[n-1] != '\r' || line[0] != kind {
			return 0, newLengthError(kind)
		}
		length, err := strconv.Atoi(string(line[1 : n-1]))
		if err != nil {
			return 0, newLengthError(kind)
		}
		return length, nil
	}
	return 0, newLengthError(kind)
}

func newLengthError(kind byte) error { return fmt.Errorf("expected %q and a number", kind) }

// unexpectedEOF turns an io.EOF inside a command into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
