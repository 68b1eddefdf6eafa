"""Placement policies, one module each."""
