"""Admission policies, one module each."""
