#!/usr/bin/env bash
# Verifies the models exhaustively with spin, then removes one rule at a time and
# verifies that each removal violates an assertion. Exits with 0 if all results
# are as expected.
set -euo pipefail
cd "$(dirname "$0")"
# Timeout of a single check, in seconds. A timeout is a failure.
limit=120
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL DEFINES... : prints "ok STATES", "error" for a violated assertion, or
# the reason why the check is incomplete.
check() {
  local model=$1 dir
  shift
  dir=$(mktemp -d -p "$work")
  cp "$model.pml" "$dir/"
  (
    cd "$dir"
    spin "$@" -a "$model.pml" >spin.log 2>&1 || { echo "spin failed: $(tail -n 3 spin.log)"; exit 0; }
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -DVECTORSZ=2048 -o pan pan.c 2>gcc.log || { echo "gcc failed"; exit 0; }
    timeout "$limit" ./pan -E -m400000 -w24 >pan.log 2>&1 || true
    if grep -q 'errors: 0' pan.log && ! grep -qE 'max search depth|out of memory|Search not completed' pan.log; then
      echo "ok $(awk '/states, stored/ {print $1; exit}' pan.log)"
    elif grep -q 'assertion violated' pan.log; then
      echo "error"
    else
      echo "incomplete: $(tail -n 2 pan.log | tr '\n' ' ')"
    fi
  )
}

# start runs a check in the background. Arguments: model, label, expected result,
# defines. Checks run in parallel; results are printed in the order of the calls.
jobs=0
start() { # MODEL LABEL WANTED DEFINES...
  local model=$1 label=$2 wanted=$3
  shift 3
  jobs=$((jobs + 1))
  printf '%s\t%s\t%s\n' "$model" "$label" "$wanted" >"$work/job$jobs"
  while [[ $(jobs -rp | wc -l) -ge $parallel ]]; do wait -n; done
  check "$model" "$@" >"$work/got$jobs" &
}

# run MODEL REMOVALS... : the complete model must hold, and each removal of a rule
# must violate an assertion.
run() {
  local model=$1 removal
  shift
  start "$model" "(whole)" ok
  for removal in "$@"; do
    start "$model" "without: $removal" error "-D$removal"
  done
}

parallel=4
run grants NO_CONDITION NO_CUMULATIVE GIVE_LATE NO_OP_NUMBER NO_WITNESS NO_REFUSE NO_BARRIER NO_TRANSIT BAD_ORDER NO_VERSION NO_PAGE_FENCE SETTLE_FIRST TWO_DEAD
start grants "(a crash more)" ok -DCRASH2
run ledger NO_CONDITION NO_COMMIT LOST_IS_DONE LOST_IS_FREE NO_REPLAY TAKE_OVER BILL_AGAIN
run escrow NO_DAY NO_UPTIME NO_SCHEDULE
run release SEND_ESCROW USE_ESCROW IGNORE_OLD IGNORE_NEW RETURN_FREE ANY_VERSION TAKE_ALL
run table NO_ACKS NO_BLOCK NO_CONDITION NO_CREATE TAKE_OLD START_BLIND
wait

failed=0
for ((i = 1; i <= jobs; i++)); do
  IFS=$'\t' read -r model label wanted <"$work/job$i"
  got=$(cat "$work/got$i")
  printf '%-8s %-28s %s\n' "$model" "$label" "$got"
  [[ $got == $wanted* ]] || { echo "  wanted: $wanted"; failed=1; }
done
exit $failed
