# Sourced by check_<name>.sh.  check_model NAME WORK-DIR MUTANT...
# Searches the whole state space of NAME.pml, which must pass, and of each mutant (the same model
# with one rule removed by -DMUTANT), which must be rejected with a counterexample.  The limits are
# fixed, so that the result does not depend on the load of the machine.

DEPTH=${DEPTH:-4000000}   # steps; a truncated search fails the check
MEMORY_MB=1900            # pan stops with an incomplete search beyond it
MODEL_FLAGS=${MODEL_FLAGS:-}

# Builds the verifier of MODEL in DIR with the given preprocessor flags.
build_pan() {
  local model=$1 dir=$2
  shift 2
  mkdir -p "$dir"
  (cd "$dir" && rm -f pan pan.* ./*.trail && spin -a "$@" "$model" >spin.log 2>&1 \
    && gcc -O2 -w -DSAFETY -DNOFAIR -DCOLLAPSE -DMEMLIM="$MEMORY_MB" -o pan pan.c) \
    || { cat "$dir/spin.log"; echo "FAILED: $model does not build"; return 1; }
}

# -E: ignores invalid end states; the bounded models end when no step is left, which is no error.
run_pan() {
  (cd "$1" && ./pan -E -m"$DEPTH" -w22 >pan.log 2>&1) || true
}

must_pass() {
  local log=$1/pan.log
  if ! grep -q 'errors: 0' "$log" \
    || grep -qE 'max search depth too small|out of memory|reached -DMEMLIM|Search not completed' "$log"; then
    cat "$log"
    echo "FAILED: $2 must pass a complete search"
    return 1
  fi
  echo "$2: passes, $(grep -oE '[0-9.e+]+ states, stored' "$log"), depth $(grep -oE 'depth reached [0-9]+' "$log" | grep -oE '[0-9]+'), $(grep -E 'total actual memory' "$log" | awk '{print $1}') MB, $(awk '/elapsed time/ {print $4}' "$log") s"
}

must_fail() {
  local log=$1/pan.log
  # spin reports an index out of range as a violated assertion too, but that is a bug in the model.
  if ! grep -qE 'errors: [1-9]' "$log" || ! grep -q 'assertion violated' "$log" \
    || grep -q 'invalid array index' "$log" || ! ls "$1"/*.trail >/dev/null 2>&1; then
    cat "$log"
    echo "FAILED: $2 must be rejected with a counterexample"
    return 1
  fi
  echo "$2: rejected, $(grep -m1 -oE 'assertion violated .*' "$log")"
}

check_model() {
  local name=$1 work=$2 spec result=0
  spec=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
  shift 2
  mkdir -p "$work"
  work=$(cd "$work" && pwd)
  # shellcheck disable=SC2086
  build_pan "$spec/$name.pml" "$work/model" $MODEL_FLAGS || return 1
  run_pan "$work/model"
  must_pass "$work/model" "$name" || result=1
  for mutant in "$@"; do
    # shellcheck disable=SC2086
    build_pan "$spec/$name.pml" "$work/$mutant" $MODEL_FLAGS "-D$mutant" || return 1
    run_pan "$work/$mutant"
    must_fail "$work/$mutant" "$name without its rule ($mutant)" || result=1
  done
  return $result
}
