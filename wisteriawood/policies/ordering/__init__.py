"""Ordering policies, which decide which job starts first; one module each."""
