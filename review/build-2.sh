#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/rig/*.java
