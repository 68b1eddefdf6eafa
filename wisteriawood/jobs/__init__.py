"""Jobs: their steps and tasks, their queues and their progress."""
