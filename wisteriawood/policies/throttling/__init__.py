"""Policies of throttling, one module each."""
