"""Jobs: steps of tasks, what their queues allow, and their progress."""
