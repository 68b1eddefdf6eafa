"""Entry hosts, schedulers, workers, racks and targets."""
