#!/bin/sh
# Runs a case: case.sh CASE FOLDER. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
stand=target/review/release/review-stand
for program in target/release/coltsfootnotch-platform "$stand"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: build the deploy file and run review/build.sh" >&2
    exit 2
  fi
done
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS

# Ends the processes that the case has started and not ended itself.
clean() {
  while read -r pid; do
    if grep -aq coltsfootnotch-platform "/proc/$pid/cmdline" 2>/dev/null; then
      kill -KILL "$pid" 2>/dev/null
    fi
  done <"$REVIEW_PIDS"
  rm -f "$REVIEW_PIDS"
}

trap 'kill -KILL "$child" 2>/dev/null; clean; exit 2' INT TERM
"$stand" "$case" "$folder" &
child=$!
wait "$child"
code=$?
clean
[ "$code" -le 2 ] || code=2
exit "$code"
