"""Data types and rules that all daemons share, and the keys of their rows."""
