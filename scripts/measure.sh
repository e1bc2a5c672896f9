#!/usr/bin/env bash
# Runs the measurements one after the other, each with a time limit, and writes
# docs/MEASUREMENTS.md. Arguments are the names of the measurements to run; without
# arguments, all are run.
set -euo pipefail
cd "$(dirname "$0")/.."
limit=${MEASURE_LIMIT:-180}
seed=${MEASURE_SEED:-1}
page=docs/MEASUREMENTS.md
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

if [ $# -eq 0 ]; then
  mapfile -t names < <(bin/standin measure list)
else
  names=("$@")
fi

{
  echo '# Measurements'
  echo
  echo 'Written by `make measure` (`scripts/measure.sh`); each document is what'
  echo '`bin/standin measure NAME --seed N` printed. Times on a shared machine vary'
  echo 'from run to run; a comparison holds only within one document.'
  for n in "${names[@]}"; do
    echo
    echo "## $n"
    echo
    echo '```toml'
    if timeout "$limit" bin/standin measure "$n" --seed "$seed" >"$dir/out" 2>"$dir/err"; then
      cat "$dir/out"
    else
      echo "# failed or over $limit s; the end of its messages:"
      tail -n 5 "$dir/err" | sed 's/^/# /'
    fi
    echo '```'
  done
} >"$dir/page"
mv "$dir/page" "$page"
echo "Wrote $page."
