"""The fault matrix: each fault at each step."""
