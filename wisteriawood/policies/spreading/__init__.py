"""Policies that choose the worker of a run."""
