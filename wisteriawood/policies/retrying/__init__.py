"""Retry policies, one module each."""
