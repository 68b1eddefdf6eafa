"""The fault matrix: each fault is injected at each step."""
