"""Fault tests.

The fault matrix injects each fault at each step at which it can occur.
"""
