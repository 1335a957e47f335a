#!/bin/sh
# Case 9: all stores are killed at once while large batch jobs wait. TROUBLE=0: nobody is killed.
cd "$(dirname "$0")" && exec python3 -B case.py
