#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK of the build, and no network.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -encoding UTF-8 -d target/classes standins/*.java
