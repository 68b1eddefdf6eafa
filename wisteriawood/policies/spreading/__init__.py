"""Spreading policies, which choose the worker of a run; one module each."""
