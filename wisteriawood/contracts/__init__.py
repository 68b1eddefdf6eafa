"""Contracts: terms, holdings, tasks, grants and requests."""
