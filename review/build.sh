#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in this folder into target/review, with the JDK alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/lab/*.java
