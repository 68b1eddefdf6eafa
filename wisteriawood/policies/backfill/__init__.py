"""Backfill policies, which choose what gets a reservation; one module each."""
