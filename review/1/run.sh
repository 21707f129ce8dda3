#!/bin/sh
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. What was sent, answered
# and run goes to record.txt.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
export PYTHONPATH="$root/target/deps:$root:$root/review"
python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
