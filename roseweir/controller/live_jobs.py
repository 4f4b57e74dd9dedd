"""The leader's watch of the live jobs' keys in the store: jobs that were submitted, were cancelled or have ended."""

import logging
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roseweir.clock import ZERO, monotonic_now, sleep
from roseweir.controller.cancellations import PeerCancellations
from roseweir.controller.scheduling_loop import SchedulingSignals
from roseweir.dependencies.reconciler import DependencyReconciler
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.service_levels.controller import ServiceLevelController
from roseweir.submissions.jobs import LIVE_JOB_PREFIX, completed_job
from roseweir.workers.handlers import HeartbeatHandler

if TYPE_CHECKING:
    from roseweir.forecast.predictive_scaler import PredictiveScaler

log = logging.getLogger(__name__)

WATCH_TIMEOUT = timedelta(seconds=1)
WATCH_RETRY_INTERVAL = timedelta(milliseconds=250)


class LiveJobWatcher:
    """Applies additions and deletions of live jobs' keys to the cluster state and to all components that count jobs."""

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        cluster_state: ClusterState,
        *,
        log_writer: LogWriter,
        dependency_reconciler: DependencyReconciler,
        service_level_controller: ServiceLevelController,
        predictive_scaler: "PredictiveScaler | None",
        heartbeat_handler: HeartbeatHandler,
        peer_cancellations: PeerCancellations,
        signals: SchedulingSignals,
    ) -> None:
        self._kv_store = kv_store
        self.cluster_state = cluster_state
        self.log_writer = log_writer
        self._dependency_reconciler = dependency_reconciler
        self._service_level_controller = service_level_controller
        self._predictive_scaler = predictive_scaler
        self._heartbeat_handler = heartbeat_handler
        self._peer_cancellations = peer_cancellations
        self._signals = signals
        # Complete jobs whose live key was deleted before this leader's write of their end was confirmed. Either that
        # write or a user's cancellation deleted the key.
        self._unconfirmed_completions: set[str] = set()
        # The store's revision up to which changes are applied. It stays valid if a later read of the same round fails.
        self._revision = 0

    async def watch(self, revision: int) -> None:
        """Watch the live jobs from a revision of the store until cancelled.

        Each answer of the store includes all changes made before its request was sent.
        """
        self._revision = revision
        while True:
            sent_at = monotonic_now()
            try:
                await self._watch_once(sent_at)
            except (StoreError, Unreachable) as error:
                log.info("watch of live jobs failed: error=%s", error)
                await self._peer_cancellations.apply()
                await sleep(WATCH_RETRY_INTERVAL)
                continue
            self._heartbeat_handler.authority.record_cancellations_read(sent_at)
            # The watch may succeed while the lease's renewals are answered too late to count, so peers are queried too.
            await self._peer_cancellations.apply()

    async def _watch_once(self, sent_at: datetime) -> None:
        """Wait for changes and apply them."""
        unconfirmed = sorted(self._unconfirmed_completions)
        watch_result = await self._kv_store.watch(LIVE_JOB_PREFIX, self._revision, WATCH_TIMEOUT)
        if watch_result is None:
            self._revision = await self._rescan()
        else:
            events, self._revision = watch_result
            for event in events:
                self._apply_live_job(event.key.removeprefix(LIVE_JOB_PREFIX), event.value, event.version, event.version)
        await self._confirm_completions(unconfirmed)
        self._service_level_controller.watched_revision = self._revision
        if self._predictive_scaler is not None:
            self._predictive_scaler.record_watch_progress(
                self._revision, sent_at, includes_ends=watch_result is not None
            )

    async def _confirm_completions(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            # In most cases the log writer has received its answer by now, and nothing needs to be read.
            if job_id in self.cluster_state.jobs and not self.cluster_state.jobs[job_id].final_state:
                await self.log_writer.refresh_job_end(job_id)
            self._unconfirmed_completions.discard(job_id)

    async def _rescan(self) -> int:
        """Read all live jobs and return their revision, after a watch whose revision the store no longer has."""
        entries, revision = await self._kv_store.scan(LIVE_JOB_PREFIX)
        present_job_ids = {entry.key.removeprefix(LIVE_JOB_PREFIX) for entry in entries}
        for entry in entries:
            self._apply_live_job(entry.key.removeprefix(LIVE_JOB_PREFIX), entry.value, entry.version, revision)
        for job_id, run in list(self.cluster_state.jobs.items()):
            if job_id not in present_job_ids and not run.final_state:
                if self._predictive_scaler is not None:
                    self._predictive_scaler.record_ended_job(job_id)
                await self.log_writer.refresh_job_end(job_id)
        for job_id in self._service_level_controller.account.live_jobs.keys() - present_job_ids:
            self._service_level_controller.account.confirm_end(job_id)
        self._service_level_controller.account.gap_count += 1  # jobs that were added and ended in between are missed
        return revision

    def _apply_live_job(self, job_id: str, value: object, version: int, revision: int) -> None:
        """Apply one live job's key: its stored value, or None if the key was deleted.

        A job whose version is newer than `revision` is delivered again by the next watch, and is counted then.
        """
        if value is not None:
            self._add_job(job_id, value, version, revision)
        else:
            self._remove_job(job_id)
        self._signals.has_work.set()

    def _add_job(self, job_id: str, value: object, version: int, revision: int) -> None:
        run = self.cluster_state.add_stored_job(job_id, value, version)
        self._dependency_reconciler.add_job(run)
        if self.cluster_state.headroom.must_start_at_once(run.spec):
            self._signals.has_urgent_work.set()
        self._service_level_controller.account.add_job(run.spec)
        if self._predictive_scaler is not None and version <= revision:
            self._predictive_scaler.record_accepted_job(run, version)

    def _remove_job(self, job_id: str) -> None:
        if self._predictive_scaler is not None:
            self._predictive_scaler.record_ended_job(job_id)
        run = self.cluster_state.jobs.get(job_id)
        if run is not None and run.is_complete and not run.final_state:
            self._stop_unconfirmed_completion(job_id, run)
        elif run is not None:
            # Only this leader's write of the job's end, or a user's cancellation, deletes a live key.
            self.log_writer.record_job_end(job_id, completed_job(run.spec, "cancelled"))
        self._service_level_controller.account.confirm_end(job_id)

    def _stop_unconfirmed_completion(self, job_id: str, run: JobRun) -> None:
        """Stop a complete job, and read its final state from the store later.

        Either this leader's write of its end or an earlier cancellation by a user deleted its key. If the job were
        treated as done, a workflow step that was cancelled as it completed would start the steps that depend on it.
        """
        self._unconfirmed_completions.add(job_id)
        for placement in list(run.placements.values()):
            self.cluster_state.request_stop(placement, ZERO, monotonic_now())
