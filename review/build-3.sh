#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp target/radishspan.jar review/stand-ins-3/*.java
