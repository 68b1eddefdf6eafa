"""Links to callers, peers, targets, workers and the platform."""
