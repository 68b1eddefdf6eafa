#!/usr/bin/env bash
# A minion with many tasks of a large job is lost; the job must be completed.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins-3 exec python3 case.py
