"""Confirms that an unanswered acceptance or cancellation was carried out: by its own key, whoever wrote it.

A key that is missing proves nothing, since the transaction may run later.
"""

from datetime import timedelta

import msgspec

from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.group_commit import ConfirmWrite
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, decode_completed_job
from roseweir.submissions.live_job_cache import LiveJobCache

LOOKUP_TIMEOUT = timedelta(milliseconds=500)


class KeyConfirmation:
    """Looks for the key that one acceptance or cancellation writes, and remembers whether it was found.

    Many retries may look; `is_confirmed` stays true from the first that finds the key.
    """

    def __init__(self, find_revision: ConfirmWrite) -> None:
        """Look for the key with `find_revision`."""
        self._find_revision = find_revision
        self.is_confirmed = False

    async def find_revision(self) -> int | None:
        """Return the revision that proves the write; None if the write may still run.

        Raises:
            StoreError, Unreachable: the key-value store did not answer.
        """
        revision = await self._find_revision()
        self.is_confirmed = self.is_confirmed or revision is not None
        return revision


class WriteConfirmations:
    """Makes the confirmations of acceptances and cancellations."""

    def __init__(self, kv_store: KeyValueStoreClient, live_job_cache: LiveJobCache) -> None:
        """Look for live jobs through the cache, and for completed ones in the store."""
        self._kv_store = kv_store
        self._live_job_cache = live_job_cache

    def job_accepted(self, job_id: str) -> KeyConfirmation:
        """Return a confirmation that the job is accepted.

        A job that completed meanwhile is not looked for: a missing live key proves nothing.
        """

        async def find_live_key() -> int | None:
            liveness = await self._live_job_cache.read_liveness(job_id)
            return liveness.revision if liveness.is_live else None

        return KeyConfirmation(find_live_key)

    def job_cancelled(self, job_id: str) -> KeyConfirmation:
        """Return a confirmation that the job is completed, and by a cancellation."""

        async def find_cancellation() -> int | None:
            if (await self._live_job_cache.read_liveness(job_id)).is_live:
                return None
            completed_entry = await self._kv_store.get(COMPLETED_JOB_PREFIX + job_id, timeout=LOOKUP_TIMEOUT)
            try:
                return (
                    completed_entry.version
                    if completed_entry is not None and decode_completed_job(completed_entry.value).state == "cancelled"
                    else None
                )
            except msgspec.ValidationError:
                return None

        return KeyConfirmation(find_cancellation)
