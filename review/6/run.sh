#!/bin/sh
# Jobs with `times` while the owner is killed. TROUBLE=0 plays the same without the kills.
cd "$(dirname "$0")/../.." || exit 2
exec java -Djdk.httpclient.allowRestrictedHeaders=host -cp target/review-2 Cases timed review/6
