package relay

import (
	"errors"
	"slices"
	"syscall"
)

// This file sorts errors of system calls by what they say, as Linux documents them
// (accept(2), socket(2), connect(2), write(2)).

// shortages say that this machine is out of something, mostly for a moment.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// locals are errors of socket and connect that say something of this machine and nothing
// of the one that was to be reached.
var locals = append([]error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN}, shortages...)

// diskTroubles are errors of files that may pass.
var diskTroubles = append([]error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN}, shortages...)

// listenTroubles are errors of a listener that may pass.
var listenTroubles = append([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.ENETDOWN}, shortages...)

// acceptErrors are of one connection that waited: the next may be had at once.
var acceptErrors = []error{syscall.EINTR, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ETIMEDOUT}

// isOneOf reports whether an error is, or wraps, one of these.
func isOneOf(err error, all []error) bool {
	return slices.ContainsFunc(all, func(x error) bool { return errors.Is(err, x) })
}

// isShortage reports whether the machine was out of descriptors or memory.
func isShortage(err error) bool { return isOneOf(err, shortages) }

// isAcceptError reports whether an error of accept is of that one connection.
func isAcceptError(err error) bool { return isOneOf(err, acceptErrors) }

// isLocal reports whether a call could not be made for a reason of this machine.
func isLocal(err error) bool { return isOneOf(err, locals) }

// isDiskTrouble reports whether a file system failed in a way that may pass.
func isDiskTrouble(err error) bool { return isOneOf(err, diskTroubles) }

// isListenTrouble reports whether an address could not be listened at for now.
func isListenTrouble(err error) bool { return isOneOf(err, listenTroubles) }
