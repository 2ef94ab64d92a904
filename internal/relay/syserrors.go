package relay

import (
	"errors"
	"slices"
	"syscall"
)

// Errors of system calls, sorted by what Linux documents of them in accept(2), socket(2),
// connect(2) and write(2).

// shortageErrors say that this machine is out of descriptors or memory, mostly for a moment.
var shortageErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// localErrors are errors of socket and connect that concern this machine, not the peer.
var localErrors = append([]error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN}, shortageErrors...)

// transientDiskErrors are errors of files that may pass.
var transientDiskErrors = append([]error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN}, shortageErrors...)

// transientListenErrors are errors of a listener that may pass.
var transientListenErrors = append([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.ENETDOWN}, shortageErrors...)

// acceptErrors concern one connection that waited: the next may be accepted at once.
var acceptErrors = []error{syscall.EINTR, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ETIMEDOUT}

// matchesAny reports whether an error is, or wraps, one of these.
func matchesAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(x error) bool { return errors.Is(err, x) })
}

// isShortage reports whether the machine was out of descriptors or memory.
func isShortage(err error) bool { return matchesAny(err, shortageErrors) }

// isAcceptError reports whether an error of accept is of that one connection.
func isAcceptError(err error) bool { return matchesAny(err, acceptErrors) }

// isLocal reports whether a call could not be made for a reason of this machine.
func isLocal(err error) bool { return matchesAny(err, localErrors) }

// isTransientDiskError reports whether a file system failed in a way that may pass.
func isTransientDiskError(err error) bool { return matchesAny(err, transientDiskErrors) }

// isTransientListenError reports whether an address could not be listened at for now.
func isTransientListenError(err error) bool { return matchesAny(err, transientListenErrors) }
