#!/bin/sh
# A key that was taken away is accepted for a moment when a machine has its way to the store back.
# Run it after the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cases2 ] && [ -x target/moorrund ] || exit 2
exec target/cases2 proof target/moorrund review/4/record.txt
