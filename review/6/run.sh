#!/bin/sh
# Stops the routers of a zone with SIGTERM, one at a time, as planned work does, and starts each again.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/burlarch.jar ] && [ -d target/review-2 ] || exit 2
exec java -cp target/review-2 review.PlannedRestartCase review/6
