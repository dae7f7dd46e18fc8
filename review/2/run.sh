#!/bin/sh
# Plays the case of this folder. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 leaves out the disruption. review/build.sh and the build of the deploy file go before it.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
classes=$root/review/target/classes
if [ ! -f "$classes/EarlyAnswer.class" ] || [ ! -f "$root/target/poppynotch.jar" ]; then
    echo "the program or the stand-ins are not built" >&2
    exit 2
fi
exec java -Xmx256m -cp "$classes" EarlyAnswer "$root" "$here"
