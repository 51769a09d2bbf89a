#!/bin/sh
# A machine is told to stop, and cuts streams whose replica makes no event for a time.
# TROUBLE=0 leaves out the SIGTERM.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../case.sh" stop "$(cd "$(dirname "$0")" && pwd)"
