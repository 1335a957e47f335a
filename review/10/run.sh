#!/bin/sh
# See claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && exec timeout 118 python3 -B case.py
