"""Cells: sets of workers with the jobs placed on them, each with a holder."""
