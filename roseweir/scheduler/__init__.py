"""What runs where: the queue, quotas, gangs, preemption, and the write-ahead record."""
