package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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
)

// errArgumentTooLong reports a command that was skipped because an argument exceeds
// its limit. The position in the stream is then the start of the next command.
var errArgumentTooLong = errors.New("argument too long")

// readCommand reads the arguments of one command. After an error other than
// errArgumentTooLong the position in the stream is unknown and the connection
// must be closed. It returns io.EOF only between two commands.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if count < 1 || count > maxArguments {
		return nil, fmt.Errorf("command of %d arguments", count)
	}
	args := make([][]byte, 0, count)
	isTooLong := false
	for i := range count {
		limit := maxArgumentBytes
		if i == count-1 {
			limit = maxBodyBytes
		}
		arg, err := readArgument(r, limit)
		if err != nil && !errors.Is(err, errArgumentTooLong) {
			return nil, unexpectedEOF(err)
		}
		isTooLong = isTooLong || err != nil
		args = append(args, arg)
	}
	if isTooLong {
		return nil, errArgumentTooLong
	}
	return args, nil
}

// readArgument reads one bulk string. One longer than limit bytes is skipped
// and reported as errArgumentTooLong.
func readArgument(r *bufio.Reader, limit int) ([]byte, error) {
	size, err := readLength(r, '$')
	if err != nil {
		return nil, err
	}
	if size < 0 || size > maxSkippedBytes {
		return nil, fmt.Errorf("argument of %d bytes", size)
	}
	if size > limit {
		if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
			return nil, err
		}
		if err := readLineEnd(r); err != nil {
			return nil, err
		}
		return nil, errArgumentTooLong
	}
	arg := make([]byte, size)
	if _, err := io.ReadFull(r, arg); err != nil {
		return nil, err
	}
	if err := readLineEnd(r); err != nil {
		return nil, err
	}
	return arg, nil
}

// readLineEnd reads the CR LF after a bulk string.
func readLineEnd(r *bufio.Reader) error {
	var lineEnd [2]byte
	if _, err := io.ReadFull(r, lineEnd[:]); err != nil {
		return err
	}
	if lineEnd != [2]byte{'\r', '\n'} {
		return errors.New("argument without its end")
	}
	return nil
}

// readLength reads a line that consists of the type byte kind and a number, and returns
// the number.
func readLength(r *bufio.Reader, kind byte) (int, error) {
	var line [maxLengthLineBytes]byte
	for n := range line {
		b, err := r.ReadByte()
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
