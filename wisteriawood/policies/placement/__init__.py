"""Policies of placement, one module each."""
