#!/usr/bin/env bash
# Puts the pinned libraries and the packages of the entry under target/deps, compiled.
set -euo pipefail
stamp=target/.deps-installed
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -r deploy/requirements.txt
    touch "$stamp"
fi
for package in core scheduler service platform daemon; do
    cp -r "packages/$package/src/." target/deps/
done
python3 -m compileall -q target/deps
