#!/usr/bin/env bash
# Runs the case with the built members and stand-ins: exit 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/fulmarnoded ] || exit 2
exec target/review/standin lost-gang-failure review/4
