"""Confirms an unanswered acceptance or cancellation by reading the key that it writes.

A key that is present proves that the job is accepted or cancelled, whichever request wrote the key. A missing key
proves nothing, since the transaction may be applied later.
"""

from datetime import timedelta

import msgspec

from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.group_commit import ConfirmWrite
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, decode_completed_job
from roseweir.submissions.live_job_cache import LiveJobCache

LOOKUP_TIMEOUT = timedelta(milliseconds=500)


class KeyConfirmation:
    """Reads the key that an acceptance or a cancellation writes, and records whether it was found.

    The key may be read several times; `is_confirmed` is true once a read has found it.
    """

    def __init__(self, find_revision: ConfirmWrite) -> None:
        """Read the key with `find_revision`."""
        self._find_revision = find_revision
        self.is_confirmed = False

    async def find_revision(self) -> int | None:
        """Return the revision that proves the write; None if the write may still be applied.

        Raises:
            StoreError, Unreachable: the key-value store did not answer.
        """
        revision = await self._find_revision()
        self.is_confirmed = self.is_confirmed or revision is not None
        return revision


class WriteConfirmations:
    """Creates confirmations of acceptances and cancellations."""

    def __init__(self, kv_store: KeyValueStoreClient, live_job_cache: LiveJobCache) -> None:
        """Read live jobs through the cache, and completed jobs from the store."""
        self._kv_store = kv_store
        self._live_job_cache = live_job_cache

    def acceptance_confirmation(self, job_id: str) -> KeyConfirmation:
        """Return a confirmation that the job is accepted.

        Only the live key is read. If the job has completed meanwhile, that key is missing, which proves nothing.
        """

        async def find_live_key() -> int | None:
            liveness = await self._live_job_cache.read_liveness(job_id)
            return liveness.revision if liveness.is_live else None

        return KeyConfirmation(find_live_key)

    def cancellation_confirmation(self, job_id: str) -> KeyConfirmation:
        """Return a confirmation that the job was cancelled."""

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
