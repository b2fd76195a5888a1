#!/usr/bin/env bash
# Runs the standard days of the sites in regression.txt and prints a table of the results.
#
# usage: deploy/regression.sh --bench PROGRAM --sites FOLDER [--all] [--jobs N] [--why TEXT]
#
#   --bench PROGRAM  the bench executable
#   --sites FOLDER   directory that is searched recursively for the site files
#   --all            also run the sites marked "all", which are left out by default
#   --jobs N         number of days to run in parallel (default 3)
#   --why TEXT       reason for the run, recorded in the journal
#
# Exit code: 0 if all gates passed and no mean is below its floor, 1 otherwise, 2 on wrong usage.
set -euo pipefail
cd "$(dirname "$0")/.."

bench='' sites='' wanted=always jobs=3 why='regression run'

fail_usage() {
    echo "$1 See the usage at the top of deploy/regression.sh." >&2
    exit 2
}

while [[ $# -gt 0 ]]; do
    case $1 in
        --all) wanted=all; shift; continue ;;
        --bench | --sites | --jobs | --why) [[ $# -ge 2 ]] || fail_usage "Option $1 needs a value." ;;
        *) fail_usage "Unknown option '$1'." ;;
    esac
    case $1 in
        --bench) bench=$2 ;;
        --sites) sites=$2 ;;
        --jobs) jobs=$2 ;;
        --why) why=$2 ;;
    esac
    shift 2
done
[[ -x $bench ]] || fail_usage "Set --bench to the bench executable; '$bench' is not executable."
[[ -d $sites ]] || fail_usage "Set --sites to the directory of the site files; '$sites' is not a directory."
[[ $jobs =~ ^[1-9][0-9]*$ ]] || fail_usage "Option --jobs needs a positive integer, not '$jobs'."

# Prints one line "name worth served" for each day in a bench log.
days_of() {
    awk '/^(quiet|trouble|scale)-[0-9]+ +[0-9]+\// { print $1, $4, $5 }' "$1"
}

status=0
report=$(mktemp)
log=$(mktemp)
trap 'rm -f "$report" "$log"' EXIT
while read -r name floor when; do
    [[ $wanted == all || $when == always ]] || continue
    file=$(find "$sites" -name "$name.toml" -print -quit)
    if [[ -z $file ]]; then
        echo "$name $floor - - no-site-file none" >>"$report"
        status=1
        continue
    fi
    "$bench" score "$file" --jobs "$jobs" --why "$why" >"$log" 2>&1 || true
    gate=$(sed -n 's/^GATE //p' "$log" | head -n 1)
    row=$(days_of "$log" | awk -v floor="$floor" '
        { sum += $2; n += 1; if (n == 1 || $2 < least) { least = $2; day = $1 } }
        END {
            if (n == 0) { print "- - not-played"; exit }
            verdict = sum / n < floor ? "under-its-floor" : "good"
            printf "%.3f %s:%s %s", sum / n, day, least, verdict
        }')
    echo "$name $floor $row ${gate:-none}" >>"$report"
    if [[ $gate != passed || $row != *" good" ]]; then
        status=1
        cat "$log"
    fi
done < <(grep -v '^#' deploy/regression.txt)

{
    echo "SITE FLOOR MEAN WORST VERDICT GATE"
    cat "$report"
} | column -t
exit "$status"
