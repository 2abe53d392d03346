#!/bin/sh
# Exits with 1 if downloads that were passed on to an upstream ended early, 0 if not, 2 if the case
# could not run. TROUBLE=0 leaves the SIGTERM out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." && exec build/review-2/pipelined-stop "$folder"
