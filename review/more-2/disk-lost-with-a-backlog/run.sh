#!/bin/sh
# Case 8: one store loses its disk while large batch jobs wait. TROUBLE=0: none does.
cd "$(dirname "$0")" && exec python3 -B case.py
