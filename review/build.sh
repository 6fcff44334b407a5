#!/bin/sh
# Checks that the stand-ins which the scripts start can be imported; Python needs no other build.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps:review exec python3 -c \
    'import standins.objectapi, harness, silentproxy, briarspur.platform.gateway'
