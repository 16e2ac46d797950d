#!/bin/sh
# Runs the case on loopback addresses; TROUBLE=0 leaves the disruption out. Exit status: see review/REPORT.md.
cd "$(dirname "$0")/../.." && exec python3 review/3/run.py
