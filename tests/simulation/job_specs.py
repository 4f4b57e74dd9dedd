"""Job descriptions for tests."""

from typing import Any

from roseweir.submissions.jobs import JobSpec


def make_job_spec(number: int = 1, **overrides: Any) -> JobSpec:
    fields: dict[str, Any] = {
        "id": f"j-{number:06d}",
        "job_class": "c",
        "team": "t0",
        "job_type": "array",
        "priority": 2,
        "task_count": 1,
        "cpus": 1.0,
        "gpus": 0.0,
        "memory_gb": 1.0,
        "allows_spot": True,
        "estimated_duration_s": 30.0,
        "accepted_ms": number,
    }
    return JobSpec(**(fields | overrides))
