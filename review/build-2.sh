#!/usr/bin/env bash
# Builds what the scripts of this review start, into target/review-2: the small stand-ins in review/lab-2. The project's own stand-ins,
# which the scripts use too, are in target/classes after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -d target/review-2 -cp "target/classes:target/libraries/*" review/lab-2/lab2/*.java
