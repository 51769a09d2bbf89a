#!/bin/sh
# A machine is told to stop, and cuts streams whose replica makes no event for a time.
exec "$(dirname "$0")/../case.sh" stop "$(cd "$(dirname "$0")" && pwd)"
