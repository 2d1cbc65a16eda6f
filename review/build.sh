#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/target; needs the build of deploy/service.toml before.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -d review/target -cp "target/classes:target/test-classes:target/lib/*" review/src/review/*.java
