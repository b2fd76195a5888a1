#!/bin/bash
# Configurations add routes in quick succession while daemons are stopped and started in turn.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/review/standins ]]; then
    echo "Run review/build.sh first."
    exit 2
fi
exec target/review/standins new-routes review/1
