package relay

import (
	"errors"
	"slices"
	"syscall"
)

// Errors of system calls, grouped by their meaning as Linux documents it in accept(2),
// socket(2), connect(2) and write(2).

// shortageErrors mean that this machine is out of descriptors or memory, which is usually
// temporary.
var shortageErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// localErrors are errors of socket and connect that are caused by this machine, not by the
// peer.
var localErrors = append([]error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN}, shortageErrors...)

// transientDiskErrors are errors of file operations that may be temporary.
var transientDiskErrors = append([]error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN}, shortageErrors...)

// transientListenErrors are errors of opening a listener that may be temporary.
var transientListenErrors = append([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.ENETDOWN}, shortageErrors...)

// acceptErrors are errors of accept that concern only one queued connection, so that the
// next one can be accepted at once.
var acceptErrors = []error{syscall.EINTR, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ETIMEDOUT}

// matchesAny reports whether err is, or wraps, one of targets.
func matchesAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(x error) bool { return errors.Is(err, x) })
}

// isShortage reports whether err means that the machine is out of descriptors or memory.
func isShortage(err error) bool { return matchesAny(err, shortageErrors) }

// isAcceptError reports whether an error of accept concerns only one connection.
func isAcceptError(err error) bool { return matchesAny(err, acceptErrors) }

// isLocalError reports whether a call could not be made because of this machine.
func isLocalError(err error) bool { return matchesAny(err, localErrors) }

// isTransientDiskError reports whether an error of a file operation may be temporary.
func isTransientDiskError(err error) bool { return matchesAny(err, transientDiskErrors) }

// isTransientListenError reports whether an error of opening a listener may be temporary.
func isTransientListenError(err error) bool { return matchesAny(err, transientListenErrors) }
