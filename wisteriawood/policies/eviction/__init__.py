"""Policies of eviction, one module each."""
