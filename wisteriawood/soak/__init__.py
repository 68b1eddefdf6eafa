"""A soak: the real hosts as processes, with random faults from outside."""
