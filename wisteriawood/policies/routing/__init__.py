"""Policies of routing, one module each."""
