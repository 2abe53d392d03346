#!/bin/sh
# Exits with 1 if two upstreams held a key at the same time for over half a second, 0 if not, 2 if
# the case could not run. TROUBLE=0 leaves the cut out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." && exec build/review-2/owner-cut "$folder"
