#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssopshore ] && [ -x target/review-2/standin2 ] || exit 2
exec target/review-2/standin2 joined-allocator review/7
