"""Terminal states of jobs that this node has read, and which cancellations it has acknowledged to users.

A terminal state never changes, so it is the only state of a job that may be answered from memory.
"""

from collections import OrderedDict, deque
from datetime import datetime, timedelta

from roseweir.clock import FOREVER, NEVER, monotonic_now
from roseweir.submissions.live_job_index import LiveJobIndex

MAX_CACHED_TERMINAL_STATES = 20_000
# The most recent acknowledged cancellations that are kept for a leader that asks for them.
MAX_ACKNOWLEDGED_CANCELLATIONS = 2000


class TerminalStateCache:
    """A bounded cache of terminal states; the oldest entries are evicted first."""

    def __init__(self, live_jobs: LiveJobIndex) -> None:
        """Hold no state yet. `live_jobs` is told of each job that is known to be cancelled."""
        # "done" or "cancelled" by job id.
        self.states: OrderedDict[str, str] = OrderedDict()
        self._live_jobs = live_jobs
        # Before this process started, other processes of this node may have acknowledged cancellations.
        self._started_at = FOREVER
        # When users were first told here that a job is cancelled, oldest first.
        self._acknowledged_cancellations: deque[tuple[datetime, str]] = deque()
        # Acknowledgements at or before this moment may have been evicted.
        self._cancellations_complete_since = NEVER

    def start(self, now: datetime) -> None:
        """Note when this process began to answer users; `now` is monotonic."""
        self._started_at = now

    def remember(self, job_id: str, state: str) -> None:
        """Record the terminal state of a job, before its user is told of it."""
        if state == "cancelled" and job_id not in self.states:
            self._acknowledged_cancellations.append((monotonic_now(), job_id))
            if len(self._acknowledged_cancellations) > MAX_ACKNOWLEDGED_CANCELLATIONS:
                self._cancellations_complete_since, _ = self._acknowledged_cancellations.popleft()
        self._store(job_id, state)

    def remember_propagated_cancellation(self, job_id: str) -> None:
        """Record that a live job is cancelled with one that it depends on.

        A leader does not learn of it as of an acknowledged cancellation, since it has yet to record the terminal state.
        Nor does it need to: none of the job's tasks ever starts.
        """
        self._store(job_id, "cancelled")

    def acknowledged_since(self, window: timedelta) -> list[str] | None:
        """Return the jobs whose users were first told in the last `window` that they are cancelled.

        Returns None if that is not known for the whole window.
        """
        since = monotonic_now() - window
        if max(self._started_at, self._cancellations_complete_since) >= since:
            return None
        return [job_id for at, job_id in self._acknowledged_cancellations if at >= since]

    def _store(self, job_id: str, state: str) -> None:
        if state == "cancelled":
            self._live_jobs.invalidate_not_cancelled(job_id)
        self.states[job_id] = state
        if len(self.states) > MAX_CACHED_TERMINAL_STATES:
            self.states.popitem(last=False)
