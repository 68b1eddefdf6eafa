"""Policies of retrying, one module each."""
