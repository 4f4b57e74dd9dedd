"""The users' API: submissions, polls and cancellations of jobs."""
