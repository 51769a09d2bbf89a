#!/bin/sh
# A machine goes on at other replicas with streams whose clients have left.
exec "$(dirname "$0")/../case.sh" left "$(cd "$(dirname "$0")" && pwd)"
