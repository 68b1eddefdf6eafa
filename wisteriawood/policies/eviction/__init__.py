"""Eviction policies, one module each."""
