#!/bin/sh
# Lists the files outside the repository that a command opens or executes, each with the Debian packages that own it
# and what it links to. Shows whether `packages` of deploy/system.toml is complete; needs strace and dpkg, but no root.
#
#   opened-files.sh OUTPUT_FOLDER COMMAND [ARGUMENT...]
#
# The repository is the present folder, or REPOSITORY; what lies below CACHE (the library cache) is left out too.
# For a clean build: an empty cache, neither HOME nor LANG, and another working folder, as in
#
#   REPOSITORY=$PWD CACHE=/var/cache/empty opened-files.sh out env -i PATH="$PATH" \
#       MAVEN_OPTS=-Dmaven.repo.local=/var/cache/empty sh "$PWD/deploy/build-system.sh"
#   apt-get -o Dir::State::status=/dev/null -o APT::Install-Recommends=false -s install openjdk-17-jdk-headless maven
#
# of which the second command lists all that the packages depend on.
set -eu
output=$1
shift
repository=${REPOSITORY:-$(pwd -P)}
cache=${CACHE:-/nonexistent}
mkdir -p "$output"
status=0
strace -f -qq -e trace=execve,open,openat -e signal=none -o "$output/trace" "$@" || status=$?

grep -v ' = -1 ' "$output/trace" \
    | sed -n 's/^[0-9]* *\(execve\|open\|openat\)([^"]*"\(\/[^"]*\)".*/\2/p' \
    | sort -u \
    | grep -v -e "^$repository/" -e "^$cache/" -e '^/proc/' -e '^/sys/' -e '^/dev/' -e '^/tmp/' > "$output/files" || true

packages_of() {
    target=$(readlink -f "$1")
    for name in "$1" "$target" "${target#/usr}"; do
        dpkg -S "$name" 2> /dev/null || true
    done | cut -d: -f1 | sort -u | tr '\n' ' '
}

while read -r file; do
    [ -d "$file" ] || echo "$file: $(packages_of "$file")"
done < "$output/files" > "$output/owners"
sed 's/^[^:]*: *//' "$output/owners" | tr ' ' '\n' | grep . | sort | uniq -c | sort -rn
exit $status
