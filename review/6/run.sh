#!/bin/sh
# Case 6: a store loses its disk while no batch job is kept, and later another store does. TROUBLE=0: none does.
cd "$(dirname "$0")" && exec python3 -B case.py
