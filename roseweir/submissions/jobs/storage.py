"""Records of jobs in the key-value store: key prefixes, encoding and decoding."""

from typing import Any

import msgspec

from roseweir.submissions.jobs.model import ARRAY, CompletedJob, JobSpec

LIVE_JOB_PREFIX = "live/"
COMPLETED_JOB_PREFIX = "over/"
COMPLETED_TASKS_PREFIX = "done/"

# Bits of completed tasks are kept in chunks, so that 100,000 tasks fit values of any allowed size.
TASKS_PER_CHUNK = 8192


def to_stored(value: msgspec.Struct) -> Any:
    """Return a record as the JSON value that the key-value store holds."""
    return msgspec.to_builtins(value)


def decode_job_spec(value: Any) -> JobSpec:
    """Return a live job's record; msgspec.ValidationError if it can't be read."""
    return msgspec.convert(value, JobSpec)


def decode_partial_job_spec(job_id: str, value: Any) -> JobSpec:
    """Return a live job with the fields of its record that can be decoded, and defaults for the others.

    The resources that its tasks use, and its team, must still be accounted for, as far as the record contains them.
    """
    spec = JobSpec(job_id, "", "", ARRAY, 3, 1, 0.0, 0.0, 0.0)
    for field_name, field_value in value.items() if isinstance(value, dict) else ():
        if field_name != "id" and field_name in JobSpec.__struct_encode_fields__:
            try:
                spec = msgspec.convert(msgspec.to_builtins(spec) | {field_name: field_value}, JobSpec)
            except msgspec.ValidationError:
                continue
    return spec


def decode_completed_job(value: Any) -> CompletedJob:
    """Return a completed job's record; msgspec.ValidationError if it can't be read."""
    return msgspec.convert(value, CompletedJob)
