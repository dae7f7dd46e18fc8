#!/bin/sh
# Builds the router fleet's one binary, target/poppynotch.jar, and an archive of its loaded classes beside it, so
# that a process starts sooner. The archive comes from a run of a fleet on loopback; without it all runs the same.
set -eu
cd "$(dirname "$0")/.."
mvn -q -DskipTests -pl system -am package
mkdir -p target
cp system/target/poppynotch.jar target/poppynotch.jar
rm -f target/poppynotch.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/poppynotch.jsa \
    -jar target/poppynotch.jar demo --requests 20 > target/demo.log 2>&1 \
    || echo "build-system.sh: no class archive was made; see target/demo.log" >&2
