#!/usr/bin/env bash
# Builds the stand-ins of the review into review/target. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -nowarn -d review/target -cp target/radishspan.jar review/standin/*.java
