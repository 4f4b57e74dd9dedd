"""An index of the live jobs, as one node last read them, with the dependencies of each."""

import sys
from collections.abc import Iterable
from typing import Any

import msgspec

from roseweir.submissions.jobs import SERVICE, StoredDependencies

# Maximum number of dependency ids in the index. Further lists are read from the key-value store when needed.
MAX_DEPENDENCY_IDS = 200_000


def stored_dependencies_of(record: Any) -> StoredDependencies:
    """Return the dependencies in a job's stored record; none if the record can't be read."""
    depends_on = record.get("after") if isinstance(record, dict) else None
    if not isinstance(depends_on, dict):
        return StoredDependencies()
    try:
        return msgspec.convert(depends_on, StoredDependencies)
    except msgspec.ValidationError:
        return StoredDependencies()


def is_service(record: Any) -> bool:
    """Whether a job's stored record is that of a service."""
    return isinstance(record, dict) and record.get("kind") == SERVICE


class LiveJobIndex:
    """Sets of live job ids, updated by the callers that read the records; the index itself does no I/O.

    Attributes:
        not_cancelled_ids: Jobs that depend on no cancelled job. The set includes all live jobs that they depend on,
            so it stays correct until one of its jobs completes.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._job_ids: set[str] = set()
        self._service_ids: set[str] = set()
        # By job, its dependencies that are not known to be done.
        self._dependencies: dict[str, list[str]] = {}
        # Jobs whose dependencies have to be read from the key-value store.
        self._unread_dependency_ids: set[str] = set()
        self._dependency_count = 0
        self.not_cancelled_ids: set[str] = set()

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._job_ids

    def __len__(self) -> int:
        return len(self._job_ids)

    def is_service(self, job_id: str) -> bool:
        """Whether a live job is a service."""
        return job_id in self._service_ids

    def dependencies(self, job_id: str) -> list[str] | None:
        """Return a job's dependencies, apart from some that are done; None if they have to be read from the store."""
        return None if job_id in self._unread_dependency_ids else self._dependencies.get(job_id, [])

    def add(self, job_id: str, record: Any) -> None:
        """Add a live job with its record as it is stored; a job's dependencies never change."""
        if job_id in self._job_ids:
            return
        self._job_ids.add(job_id)
        if is_service(record):
            self._service_ids.add(job_id)
        dependencies = stored_dependencies_of(record)
        if dependencies.part_count:
            self._unread_dependency_ids.add(job_id)
        elif dependencies:
            self.set_dependencies(job_id, dependencies.job_ids)

    def set_dependencies(self, job_id: str, dependency_ids: Iterable[str]) -> None:
        """Set the dependencies of a live job that are not known to be done."""
        if job_id not in self._job_ids:
            return
        self._drop_dependencies(job_id)
        interned_ids = [sys.intern(dependency_id) for dependency_id in dependency_ids]
        if self._dependency_count + len(interned_ids) > MAX_DEPENDENCY_IDS:
            self._unread_dependency_ids.add(job_id)
            return
        self._unread_dependency_ids.discard(job_id)
        if interned_ids:
            self._dependencies[job_id] = interned_ids
            self._dependency_count += len(interned_ids)

    def discard(self, job_id: str) -> None:
        """Remove a job that has completed."""
        if job_id not in self._job_ids:
            return
        self._job_ids.discard(job_id)
        self._service_ids.discard(job_id)
        self._unread_dependency_ids.discard(job_id)
        self._drop_dependencies(job_id)
        self.invalidate_not_cancelled(job_id)

    def invalidate_not_cancelled(self, job_id: str) -> None:
        """Clear `not_cancelled_ids` if it contains this job, which has completed or is cancelled."""
        if job_id in self.not_cancelled_ids:
            self.not_cancelled_ids.clear()

    def replace_all(self, records: dict[str, Any]) -> None:
        """Replace the live jobs by those of one scan, given as records by job id."""
        for job_id in self._job_ids - records.keys():
            self.discard(job_id)
        for job_id, record in records.items():
            self.add(job_id, record)

    def _drop_dependencies(self, job_id: str) -> None:
        self._dependency_count -= len(self._dependencies.pop(job_id, []))
