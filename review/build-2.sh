#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 6 into review/src-2/target; needs the build of deploy/service.toml before.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/src-2/target
mkdir -p review/src-2/target
javac -Xlint:all -d review/src-2/target -cp "target/classes:target/lib/*" review/src-2/*.java
