"""Workflows in the key-value store: many to a page, each write guarded by the leader's key and the page's version.

`chain/NNNN` holds workflows by id. A workflow is written with its jobs' records when it is accepted, and again when its
last job has ended. The changes in between are derived from the jobs' records. They are written only when the store is
about to drop its changes since the page was last written (`MAX_PAGE_AGE_REVISIONS`). So a workflow costs at most two
writes in addition to those of its jobs, shared with the others on its page. Ended workflows take only a few bytes, and
the oldest are evicted first.
"""

from typing import Any

import msgspec
import orjson

from roseweir.kv_store import Entry, KeyValueStoreClient
from roseweir.kv_store.fenced_writes import FencedWriter
from roseweir.workflows.errors import PageUnreadable
from roseweir.workflows.model import Workflow

PAGE_KEY_PREFIX = "chain/"
# Fraction of the largest allowed value that a page may fill.
MAX_PAGE_FILL = 0.85
# Size limit of a value that is assumed where the store allows larger ones.
MAX_PAGE_BYTES = 8 * 1024
# The key-value store keeps its last 10,000 changes, so pages are written again well before they are that old.
MAX_PAGE_AGE_REVISIONS = 6000
# Maximum number of pages: ended workflows are evicted before there are more.
MAX_PAGES = 2000


class WorkflowStore(FencedWriter):
    """The pages of workflows: which workflow is on which page, and how full each is."""

    def __init__(self, kv_store: KeyValueStoreClient, leader_key_version: int) -> None:
        super().__init__(kv_store, leader_key_version, "chains")
        self.page_by_workflow: dict[str, int] = {}
        self.page_sizes: dict[int, int] = {}

    @property
    def page_capacity(self) -> int:
        """Return the bytes that a page may take within the limits of the store, as currently known to the client."""
        return int(min(self.kv_store.transaction_limits.max_value_bytes, MAX_PAGE_BYTES) * MAX_PAGE_FILL)

    async def read_entries(self) -> list[Entry]:
        """Read all pages."""
        entries, _ = await self.kv_store.scan(PAGE_KEY_PREFIX)
        return entries

    def restore(self, entries: list[Entry]) -> dict[str, Workflow]:
        """Return the workflows of the pages, by id.

        Raises:
            PageUnreadable: a page cannot be decoded. If it were skipped, its workflows would stop unnoticed.
        """
        self.load(entries)
        self.page_by_workflow, self.page_sizes = {}, {}
        workflows_by_id: dict[str, Workflow] = {}
        for entry in entries:
            page_number = int(entry.key.removeprefix(PAGE_KEY_PREFIX))
            try:
                workflows = [msgspec.convert(value, Workflow) for value in entry.value["chains"].values()]
            except (msgspec.ValidationError, KeyError, TypeError, AttributeError) as e:
                raise PageUnreadable(entry.key, e) from e
            self.page_sizes[page_number] = 0
            for workflow in workflows:
                workflows_by_id[workflow.id] = workflow
                self.page_by_workflow[workflow.id] = page_number
                self.page_sizes[page_number] += stored_size(workflow)
        return workflows_by_id

    def assign_page(self, workflow: Workflow) -> int | None:
        """Assign the workflow to a page if it has none, and return its page; None: it fits no page."""
        size = stored_size(workflow)
        if size > self.page_capacity:
            return None
        page_number = self.page_by_workflow.get(workflow.id)
        if page_number is None:
            page_number = next(
                (n for n, used in sorted(self.page_sizes.items()) if used + size <= self.page_capacity), None
            )
            if page_number is None:
                page_number = next((n for n in range(MAX_PAGES) if n not in self.page_sizes), None)
            if page_number is None:
                return None
            self.page_by_workflow[workflow.id] = page_number
            self.page_sizes[page_number] = self.page_sizes.get(page_number, 0) + size
        return page_number

    def oversized_pages(self) -> set[int]:
        """Return the pages that exceed the capacity, as they were written under a higher limit."""
        return {number for number, used in self.page_sizes.items() if used > self.page_capacity}

    def split_oversized_pages(self, workflows: dict[str, Workflow]) -> list[int]:
        """Move workflows off pages that are too large, and return the pages they move to, to be written first.

        Until the oversized page is written again, both pages hold the moved workflow; a reader may use either, as they
        agree.
        """
        target_pages: list[int] = []
        for page_number in sorted(self.oversized_pages()):
            kept_bytes = 0
            for workflow_id in sorted(
                workflow_id
                for workflow_id, page in self.page_by_workflow.items()
                if page == page_number and workflow_id in workflows
            ):
                size = stored_size(workflows[workflow_id])
                if kept_bytes == 0 or kept_bytes + size <= self.page_capacity:
                    kept_bytes += size
                    continue
                self.release_page_space(workflows[workflow_id])
                target_page = self.assign_page(workflows[workflow_id])
                if target_page is None:
                    self.page_by_workflow[workflow_id] = page_number
                    self.page_sizes[page_number] += size
                elif target_page != page_number:
                    target_pages.append(target_page)
        return target_pages

    def record_compaction(self, workflow: Workflow, compacted: Workflow) -> None:
        """Update the size of the page after an ended workflow was compacted."""
        page_number = self.page_by_workflow.get(workflow.id)
        if page_number is not None:
            self.page_sizes[page_number] += stored_size(compacted) - stored_size(workflow)

    def release_page_space(self, workflow: Workflow) -> None:
        """Remove a workflow from its page, and subtract its size from that of the page."""
        page_number = self.page_by_workflow.pop(workflow.id, None)
        if page_number is not None:
            self.page_sizes[page_number] = max(0, self.page_sizes[page_number] - stored_size(workflow))

    def encode_page(self, page_number: int, workflows: dict[str, Workflow]) -> dict[str, Any]:
        """Return the value to store for a page, and update the size of the page."""
        workflow_ids = sorted(
            workflow_id
            for workflow_id, page in self.page_by_workflow.items()
            if page == page_number and workflow_id in workflows
        )
        encoded = {workflow_id: msgspec.to_builtins(workflows[workflow_id]) for workflow_id in workflow_ids}
        self.page_sizes[page_number] = sum(stored_size(workflows[workflow_id]) for workflow_id in workflow_ids)
        return {"chains": encoded}

    @staticmethod
    def page_key(page_number: int) -> str:
        """Return the key of a page."""
        return f"{PAGE_KEY_PREFIX}{page_number:04d}"

    def oldest_page_revision(self) -> int:
        """Return the store revision of the oldest page: the ends of jobs since then have to be read from the store."""
        return min(self.key_versions.values(), default=0)


def stored_size(workflow: Workflow) -> int:
    """Return the bytes that a workflow takes of its page, including those that the ends of its steps may add."""
    reserved_growth = 40 * sum(not step.ended_ms for step in workflow.steps)
    return len(orjson.dumps(msgspec.to_builtins(workflow))) + len(workflow.id) + 8 + reserved_growth


def compact_ended_workflow(workflow: Workflow) -> Workflow:
    """Return an ended workflow reduced to what is needed to recognize a repeated request and to report its outcome."""
    steps = [msgspec.structs.replace(step, dependencies=[]) for step in workflow.steps if step.is_delivery]
    return msgspec.structs.replace(workflow, steps=steps, blocking_jobs=[])
