"""Terminal states of jobs that this node has read, and which cancellations it has acknowledged to users.

A terminal state never changes, so it is the only state of a job that may be answered from memory.
"""

from collections import OrderedDict, deque
from datetime import datetime, timedelta

from roseweir.clock import FOREVER, NEVER, monotonic_now
from roseweir.submissions.live_job_index import LiveJobIndex

MAX_CACHED_TERMINAL_STATES = 20_000
# Maximum number of acknowledged cancellations that are kept for requests of a leader.
MAX_ACKNOWLEDGED_CANCELLATIONS = 2000


class TerminalStateCache:
    """A bounded cache of terminal states; the oldest entries are evicted first."""

    def __init__(self, live_jobs: LiveJobIndex) -> None:
        """Create an empty cache; each cancellation added to it also calls `live_jobs.invalidate_not_cancelled`."""
        # "done" or "cancelled" by job id.
        self.states: OrderedDict[str, str] = OrderedDict()
        self._live_jobs = live_jobs
        # Before this process started, other processes of this node may have acknowledged cancellations.
        self._started_at = FOREVER
        # When each cancellation was first acknowledged to a user by this process, oldest first.
        self._acknowledged_cancellations: deque[tuple[datetime, str]] = deque()
        # Acknowledgements at or before this moment may have been evicted.
        self._cancellations_complete_since = NEVER

    def start(self, now: datetime) -> None:
        """Record when this process began to answer users; `now` is monotonic."""
        self._started_at = now

    def add(self, job_id: str, state: str) -> None:
        """Add the terminal state of a job; call this before the state is returned to a user."""
        if state == "cancelled" and job_id not in self.states:
            self._acknowledged_cancellations.append((monotonic_now(), job_id))
            if len(self._acknowledged_cancellations) > MAX_ACKNOWLEDGED_CANCELLATIONS:
                self._cancellations_complete_since, _ = self._acknowledged_cancellations.popleft()
        self._insert(job_id, state)

    def add_propagated_cancellation(self, job_id: str) -> None:
        """Add a live job that is cancelled because of a job that it depends on.

        This is not reported to a leader as an acknowledged cancellation, since the leader has yet to record the
        terminal state. The leader does not need the report: none of the job's tasks ever starts.
        """
        self._insert(job_id, "cancelled")

    def acknowledged_since(self, window: timedelta) -> list[str] | None:
        """Return the jobs whose cancellation this process first acknowledged to a user within the last `window`.

        Returns None if the acknowledgements of the entire window are not available.
        """
        since = monotonic_now() - window
        if max(self._started_at, self._cancellations_complete_since) >= since:
            return None
        return [job_id for at, job_id in self._acknowledged_cancellations if at >= since]

    def _insert(self, job_id: str, state: str) -> None:
        if state == "cancelled":
            self._live_jobs.invalidate_not_cancelled(job_id)
        self.states[job_id] = state
        if len(self.states) > MAX_CACHED_TERMINAL_STATES:
            self.states.popitem(last=False)
