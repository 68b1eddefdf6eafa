"""Cells: sets of workers and their jobs, each managed by one holder."""
