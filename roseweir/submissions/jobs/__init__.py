"""Jobs: their model, their records in the key-value store, and whether they can ever run."""

from roseweir.submissions.jobs.admission import rejection_reason
from roseweir.submissions.jobs.model import (
    ARRAY,
    GANG,
    MAX_TASKS_PER_JOB,
    SERVICE,
    CompletedJob,
    JobSpec,
    JobType,
    MachineType,
    StoredDependencies,
    completed_job,
)
from roseweir.submissions.jobs.storage import (
    COMPLETED_JOB_PREFIX,
    COMPLETED_TASKS_PREFIX,
    LIVE_JOB_PREFIX,
    TASKS_PER_CHUNK,
    decode_completed_job,
    decode_job_spec,
    decode_partial_job_spec,
    to_stored,
)

__all__ = [
    "ARRAY",
    "COMPLETED_JOB_PREFIX",
    "COMPLETED_TASKS_PREFIX",
    "GANG",
    "LIVE_JOB_PREFIX",
    "MAX_TASKS_PER_JOB",
    "SERVICE",
    "TASKS_PER_CHUNK",
    "CompletedJob",
    "JobSpec",
    "JobType",
    "MachineType",
    "StoredDependencies",
    "completed_job",
    "decode_completed_job",
    "decode_job_spec",
    "decode_partial_job_spec",
    "rejection_reason",
    "to_stored",
]
