"""Throttling policies, one module each."""
