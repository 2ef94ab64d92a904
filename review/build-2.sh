#!/bin/sh
# Builds what the cases 6 to 10 start beside the relay: the project's list service with its
# agent, the operators' command, and the stand-ins of this review. The relay itself is
# built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin review/stand-2/bin
go build -o bin/ ./cmd/registry ./cmd/relayctl
go build -o review/stand-2/bin/ ./review/stand-2
