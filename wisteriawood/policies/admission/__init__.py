"""Policies that decide whether a job is taken in."""
