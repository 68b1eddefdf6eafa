"""Machines: entry hosts, schedulers, workers, racks and targets."""
