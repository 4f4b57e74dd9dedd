"""Cancellation of a step's job in the key-value store."""

from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.client import delete, put
from roseweir.kv_store.write_confirmation import commit_or_confirm
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    LIVE_JOB_PREFIX,
    JobSpec,
    completed_job,
    decode_completed_job,
    to_stored,
)


async def cancel_live_job(kv_store: KeyValueStoreClient, job_id: str, spec: JobSpec) -> bool:
    """Cancel a job as a user's request does; durable when this returns.

    Returns False if there is no live job of this id.

    Raises:
        StoreError: the store did not record it.
        Unreachable: the store did not answer.
    """
    live = await kv_store.get(LIVE_JOB_PREFIX + job_id)
    if live is None:
        return False
    ops = [
        put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(spec, "cancelled"))),
        delete(LIVE_JOB_PREFIX + job_id),
    ]

    async def confirm_cancelled() -> int | None:
        entry = await kv_store.get(COMPLETED_JOB_PREFIX + job_id)
        return entry.version if entry is not None and decode_completed_job(entry.value).state == "cancelled" else None

    await commit_or_confirm(
        kv_store,
        [(LIVE_JOB_PREFIX + job_id, live.version), (COMPLETED_JOB_PREFIX + job_id, 0)],
        ops,
        confirm_cancelled,
    )
    return True
