#!/usr/bin/env bash
# Runs the formatter check, the layer check, the check of docs/reference and the linter over all sources.
# usage: tools/lint.sh BUILD_DIRECTORY
set -euo pipefail
build=$1
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
tools/check_layers.sh
tools/make_reference.sh --check
# A file is linted again only when a source, a header or the settings have changed since its last clean run.
stamps="$build/lint"
mkdir -p "$stamps"
hash_all=$( { git ls-files '*.hpp' | sort | xargs cat; cat .clang-tidy; } | sha256sum | cut -c1-16)
lint_one() {
    local file=$1 stamp
    stamp="$stamps/$( { echo "$hash_all $file"; cat "$file"; } | sha256sum | cut -c1-32)"
    [ -e "$stamp" ] && return 0
    clang-tidy -p "$build" --quiet "$file" 2> "$stamp.err" || { cat "$stamp.err"; rm -f "$stamp.err"; return 1; }
    rm -f "$stamp.err"
    touch "$stamp"
}
export -f lint_one
export build stamps hash_all
git ls-files '*.cpp' | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$@"' _ {}
echo "lint: clean"
