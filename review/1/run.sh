#!/bin/bash
# Configurations add routes in quick succession while daemons are stopped and started in turn.
cd "$(dirname "$0")/../.."
exec target/review/standins new-routes review/1
