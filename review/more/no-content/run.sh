#!/usr/bin/env bash
cd "$(dirname "$0")"
exec timeout -k 5 118 python3 -B case.py
