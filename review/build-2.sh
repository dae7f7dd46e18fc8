#!/bin/sh
# Builds the stand-ins of the cases of this review, review/standins-2 and the programs of the cases, into
# target/review-2. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review -path "review/standins-2/*" -name "*.java" > target/review-2.files
find review -path "review/[4-8]/*" -name "*.java" >> target/review-2.files
javac -Xlint:all,-try -d target/review-2 @target/review-2.files
rm target/review-2.files
