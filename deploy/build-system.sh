#!/bin/sh
# Builds the router fleet's one binary, target/poppynotch.jar.
set -eu
cd "$(dirname "$0")/.."
mvn -q -DskipTests -pl system -am package
mkdir -p target
cp system/target/poppynotch.jar target/poppynotch.jar
