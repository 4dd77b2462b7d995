#!/usr/bin/env bash
# Plays the case advice-of-few; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
[ -x target/review-2/stand-2 ] && [ -x target/release/lacewingshore ] || exit 2
target/review-2/stand-2 advice-of-few review/6/record.txt "$folder"
