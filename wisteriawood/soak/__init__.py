"""Soak test: runs hosts as processes and injects random faults."""
