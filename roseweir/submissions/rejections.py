"""Counts the valid submissions that were rejected with a time to retry, by team and job class."""

from roseweir.submissions.jobs import JobSpec

# Maximum number of rows, one per team and job class; further requests are counted together in one row.
MAX_REJECTION_ROWS = 256
# Team and job class of the row for all requests without a separate row.
OTHER_ROW = "*"


class RejectionCounter:
    """Counts the requests, retries included, that this process has rejected since it started."""

    def __init__(self) -> None:
        # Requests by (team, job class).
        self.counts: dict[tuple[str, str], int] = {}

    def count(self, spec: JobSpec) -> None:
        """Count one rejected submission of this job."""
        key = (spec.team, spec.job_class)
        if len(self.counts) >= MAX_REJECTION_ROWS:
            key = key if key in self.counts else (OTHER_ROW, OTHER_ROW)
        self.counts[key] = self.counts.get(key, 0) + 1
