#!/bin/sh
# Builds what the cases from folder 4 on start. The stand-ins are Python and run from the
# source; this only checks that they, and what they import, can be loaded.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review exec python3 -c "import site2"
