"""The jobs that live, as one node knows them, with the jobs that each of them awaits."""

import sys
from collections.abc import Iterable
from typing import Any

import msgspec

from roseweir.submissions.jobs import SERVICE, StoredDependencies

# Names of awaited jobs kept in all. Lists beyond that are read from the state service whenever they are asked for.
MAX_DEPENDENCY_IDS = 200_000


def stored_dependencies_of(record: Any) -> StoredDependencies:
    """Of a record of a job, as it is stored. One that can't be read awaits nothing that is known."""
    depends_on = record.get("after") if isinstance(record, dict) else None
    if not isinstance(depends_on, dict):
        return StoredDependencies()
    try:
        return msgspec.convert(depends_on, StoredDependencies)
    except msgspec.ValidationError:
        return StoredDependencies()


def is_service(record: Any) -> bool:
    """Of a record of a job, as it is stored."""
    return isinstance(record, dict) and record.get("kind") == SERVICE


class LiveJobIndex:
    """Sets of names, kept by whoever reads the records: no I/O here."""

    def __init__(self) -> None:
        self._job_ids: set[str] = set()
        self._service_ids: set[str] = set()
        # By job, those that it awaits and that are not known to be done.
        self._dependencies: dict[str, list[str]] = {}
        # Jobs whose names are not kept here.
        self._unread_dependency_ids: set[str] = set()
        self._dependency_count = 0
        # Jobs found to need no cancelled one. It holds all that they need and that lives, so it stays
        # true until one of these ends.
        self.known_not_cancelled: set[str] = set()

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._job_ids

    def __len__(self) -> int:
        return len(self._job_ids)

    def is_service(self, job_id: str) -> bool:
        return job_id in self._service_ids

    def dependencies(self, job_id: str) -> list[str] | None:
        """The jobs that it awaits, apart from some that are done; None: they have to be read."""
        return None if job_id in self._unread_dependency_ids else self._dependencies.get(job_id, [])

    def add(self, job_id: str, record: Any) -> None:
        """A record as the state service holds it. What a job awaits never changes."""
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
        """What a live job awaits, as far as it is not known to be done."""
        if job_id not in self._job_ids:
            return
        self._drop_dependencies(job_id)
        kept = [sys.intern(name) for name in dependency_ids]
        if self._dependency_count + len(kept) > MAX_DEPENDENCY_IDS:
            self._unread_dependency_ids.add(job_id)
            return
        self._unread_dependency_ids.discard(job_id)
        if kept:
            self._dependencies[job_id] = kept
            self._dependency_count += len(kept)

    def discard(self, job_id: str) -> None:
        if job_id not in self._job_ids:
            return
        self._job_ids.discard(job_id)
        self._service_ids.discard(job_id)
        self._unread_dependency_ids.discard(job_id)
        self._drop_dependencies(job_id)
        self.invalidate_not_cancelled(job_id)

    def invalidate_not_cancelled(self, job_id: str) -> None:
        """It has ended, or is known to be cancelled."""
        if job_id in self.known_not_cancelled:
            self.known_not_cancelled.clear()

    def replace_all(self, records: dict[str, Any]) -> None:
        """All records of live jobs, as one reading found them."""
        for job_id in self._job_ids - records.keys():
            self.discard(job_id)
        for job_id, record in records.items():
            self.add(job_id, record)

    def _drop_dependencies(self, job_id: str) -> None:
        self._dependency_count -= len(self._dependencies.pop(job_id, []))
