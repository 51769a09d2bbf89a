#!/bin/sh
# A machine goes on at other replicas with streams whose clients have left.
# TROUBLE=0 leaves out the crash of the replica.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../case.sh" left "$(cd "$(dirname "$0")" && pwd)"
