#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
[ -f target/poppynotch.jar ] && [ -f target/review-2/review/Stage.class ] || exit 2
java -Xmx256m -XX:+UseSerialGC -cp target/review-2 review.LateDrain review/7
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
