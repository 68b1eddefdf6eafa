"""Routing policies, one module each."""
