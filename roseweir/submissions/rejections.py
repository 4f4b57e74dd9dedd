"""Counts of submissions that were turned away with a time to retry, by team and job class."""

from roseweir.submissions.jobs import JobSpec

# Rows kept by team and job class; what goes beyond is counted together in one row.
MAX_REJECTION_ROWS = 256
# Team and job class of the row that holds what has no row of its own.
OTHER_ROW = "*"


class RejectionCounter:
    """Counts the requests, retries included, that this process has turned away since it started."""

    def __init__(self) -> None:
        # Requests by (team, job class).
        self.counts: dict[tuple[str, str], int] = {}

    def count(self, spec: JobSpec) -> None:
        """Count one rejected submission of this job."""
        key = (spec.team, spec.job_class)
        if len(self.counts) >= MAX_REJECTION_ROWS:
            key = key if key in self.counts else (OTHER_ROW, OTHER_ROW)
        self.counts[key] = self.counts.get(key, 0) + 1
