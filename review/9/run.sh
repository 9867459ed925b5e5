#!/bin/sh
# Runs this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case-2.sh" store-restart "$folder"
