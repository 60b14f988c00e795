#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/Case13.class ] && [ -f target/radishspan.jar ] || exit 2
timeout 110 java -Xmx128m -cp target/review-3:target/radishspan.jar Case13 review/13
result=$?
[ $result -le 1 ] || result=2
exit $result
