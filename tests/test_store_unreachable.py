"""The gap, a leader cut off, and the word of the other controllers: how long a cancelled job's tasks may stay."""

import asyncio
from collections.abc import Callable
from datetime import datetime
from random import Random
from typing import Any
from weakref import WeakKeyDictionary

import pytest

from roseweir.clock import monotonic_now
from roseweir.controller.leader import LeaderTerm
from roseweir.http import Reply, Response
from roseweir.kv_store import KeyValueStoreClient
from roseweir.leader_election.election import LeaderLease
from roseweir.leader_election.leader_search import LeaderSearch
from roseweir.scheduler import cluster_state as board_module
from roseweir.submissions.jobs import LIVE_JOB_PREFIX
from roseweir.workers.answer_authority import AnswerAuthority
from tests.simulation.cluster import SimulatedCluster, SimulatedWorker, virtual_now
from tests.simulation.fault_combinations import LongTaskCluster, is_caught, worker_params
from tests.test_simulated_days import check

Patch = pytest.MonkeyPatch

# -- the gap: the leader refused alone, cancels confirmed, then an outage for all ----------------


def gap_world(seed: int) -> tuple[LongTaskCluster, list[float]]:
    """The leader is refused alone, jobs are cancelled elsewhere, then nobody has the state service for long."""
    draw = Random(seed)
    lease = draw.choice([4.0, 6.0, 9.0])
    cancel = lease + draw.choice([4.0, 8.0, 14.0])
    alone = draw.uniform(0.3, 2.3) if seed % 3 else draw.uniform(3.0, 9.0)
    cluster = LongTaskCluster(seed, params_override=worker_params(lease, cancel))
    spans: list[float] = []

    async def gap(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, LongTaskCluster)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        assert node.service is not None and node.service.leader_term is not None
        if seed % 2 == 0:
            node.network_faults["peers"] = (
                "refused"  # or it hears of the cancels, or of its successor if one has time to come
            )
        # Answers that are under way as the service begins to refuse come late.
        cluster.max_store_delay_s = draw.choice([0.0, 1.0, 2.9, 2.9])
        await asyncio.sleep(3)
        cluster.state.refused_controllers.add(node.name)
        begun = virtual_now()
        held = sorted({task.job_id for _, task in cluster.active_tasks()})
        reign = node.service.leader_term
        for job_id in held[::2]:
            cluster.spawn(cluster.cancel_via_others(job_id, node.name))
        await asyncio.sleep(alone)
        if reign is not None:
            known = reign.cluster_state.jobs
            cluster.unheard_cancellations = sum(
                1 for j in held[::2] if j in cluster.cancelled_at and j in known and not known[j].final_state
            )
        cluster.max_store_delay_s = 0.0
        cluster.state.is_down = True
        await asyncio.sleep(cancel * 1.5)
        cluster.state.end_outage()
        cluster.state.refused_controllers.clear()
        node.network_faults.clear()
        spans.append(virtual_now() - begun)

    cluster.schedule_action(gap)
    return cluster, spans


GAPS = range(7700, 7712)


def test_tasks_of_jobs_cancelled_in_the_gap_are_gone_in_time() -> None:
    """Bound: the last answer goes out less than the hold-over after a read that was sent before the cancel, and the
    worker's lease runs from a report that was sent before that answer: two seconds are left of `cancel_s`."""
    unheard = 0
    for seed in GAPS:
        cluster, spans = gap_world(seed)
        check(cluster.run(length_s=80, job_count=14))
        assert spans and spans[0] > cluster.cancel_deadline_s, "no outage longer than cancel_s"
        unheard += cluster.unheard_cancellations
        for job_id, last in cluster.last_seen_running.items():
            taken = last - cluster.cancelled_at[job_id]
            assert taken <= cluster.cancel_deadline_s - 2.0 + 0.1, (
                f"seed {seed}: {job_id} was there {taken:.2f} s after its cancel"
            )
    assert unheard >= 5, "no leader was left without the news"


def holdover_longer(patch: Patch) -> None:
    """One lease too long."""
    plain = board_module.stale_cancellation_window
    patch.setattr(
        board_module,
        "stale_cancellation_window",
        lambda settings: plain(settings) + settings.params.workers.lease_duration,
    )


def news_at_the_answer(patch: Patch) -> None:
    """News counts from when the answer came, and not from when the question went out."""
    plain = KeyValueStoreClient.watch
    answered: WeakKeyDictionary[KeyValueStoreClient, datetime] = WeakKeyDictionary()
    states: WeakKeyDictionary[AnswerAuthority, KeyValueStoreClient] = WeakKeyDictionary()

    async def watch(self: KeyValueStoreClient, prefix: str, *args: Any, **more: Any) -> Any:
        found = await plain(self, prefix, *args, **more)
        if prefix == LIVE_JOB_PREFIX and found is not None:
            answered[self] = monotonic_now()
        return found

    def may_answer(self: AnswerAuthority, at: datetime) -> bool:
        came = answered.get(states[self], self.cancellations_read_at)
        return (
            at - max(self.cancellations_read_at, came) < self.cluster_state.stale_cancellation_window
            and not self.leader_lease.ended.is_set()
        )

    def begun(self: LeaderTerm, *args: Any, **more: Any) -> None:
        init(self, *args, **more)
        states[self.worker_handlers.authority] = self.kv_store

    init = LeaderTerm.__init__
    patch.setattr(LeaderTerm, "__init__", begun)
    patch.setattr(KeyValueStoreClient, "watch", watch)
    patch.setattr(AnswerAuthority, "may_answer", may_answer)


@pytest.mark.parametrize("broken", [holdover_longer, news_at_the_answer], ids=lambda b: b.__name__)
def test_a_gap_catches_a_leader_that_answers_too_long(broken: Callable[[Patch], None], monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert is_caught(lambda seed: gap_world(seed)[0], range(7736, 7760), "late")


def test_nothing_starts_on_a_lease_that_an_outage_left_before_the_first_news(monkeypatch: Patch) -> None:
    """The lease is renewed as the outage ends; jobs that others had ended before it must not start."""

    def play() -> tuple[list[str], bool]:
        cluster = LongTaskCluster(7720, params_override=worker_params(6.0, 24.0))
        cluster.max_tasks = 3
        started: list[str] = []
        renewed: list[bool] = []
        plain = cluster.on_run

        def on_run(worker: SimulatedWorker, key: tuple[str, int]) -> None:
            plain(worker, key)
            if key[0] in cluster.cancelled_at:
                started.append(f"{key[0]}/{key[1]}")

        cluster.on_run = on_run  # type: ignore[method-assign]

        async def scene(cluster: SimulatedCluster) -> None:
            assert isinstance(cluster, LongTaskCluster)
            await asyncio.sleep(28.6)
            node = cluster.current_leader()
            assert node.service is not None and node.service.leader_term is not None
            reign = node.service.leader_term
            handle, hold = cluster.state.handle, [False]

            async def slow(name: str, method: str, path: str, body: object) -> Reply:
                answer = await handle(name, method, path, body)
                if hold[0] and path.startswith("/watch?prefix=live"):
                    await asyncio.sleep(1.5)
                return answer

            cluster.state.handle = slow  # type: ignore[method-assign, assignment]
            node.network_faults["peers"] = "refused"  # or they would tell of the cancels
            # What is placed now is recorded, and cannot be sent: the machines' reports do not come.
            node.network_faults["workers"] = "refused"
            before = set(cluster.jobs)
            for _ in range(6):
                cluster.spawn(cluster.run_user())
            await asyncio.sleep(0.7)
            cluster.state.refused_controllers.add(node.name)
            ready = {p.run.spec.id for m in reign.cluster_state.machines.values() for p in m.placements.values()}
            for job_id in sorted(ready - before):
                cluster.spawn(cluster.cancel_via_others(job_id, node.name))
            await asyncio.sleep(0.8)
            cluster.state.is_down = True
            await asyncio.sleep(1.6)
            del node.network_faults["workers"]
            await asyncio.sleep(2.6)
            hold[0] = True  # the watch is answered later than the renewal
            cluster.state.end_outage()
            cluster.state.refused_controllers.clear()
            await asyncio.sleep(1.2)
            renewed.append(reign.leader_lease.is_valid())

        cluster.schedule_action(scene)
        check(cluster.run(length_s=50, job_count=2))
        return started, bool(renewed and renewed[0])

    started, renewed = play()
    assert renewed and started == []
    monkeypatch.setattr(AnswerAuthority, "may_start_tasks", lambda self, at: self.leader_lease.is_valid())
    started, _ = play()
    assert started, "the variant without news was not caught"


# -- cut from state service and controllers, with workers and users -------------------------------


def cut_world(seed: int) -> LongTaskCluster:
    """The leader is left with its workers and users alone; jobs are cancelled through its successor."""
    cluster = LongTaskCluster(seed)

    async def lose(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, LongTaskCluster)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        assert node.service is not None and node.service.leader_term is not None
        old = node.service.leader_term
        cluster.spawn(cluster.lose_network(node, ["state", "peers"], 35.0))
        while not any(
            n is not node and n.service and n.service.leader_term and n.service.leader_term.is_ready
            for n in cluster.nodes
        ):
            await asyncio.sleep(0.02)
        for job_id in sorted({task.job_id for _, task in cluster.active_tasks()}):
            await cluster.cancel_via_others(job_id, node.name)
            known = old.cluster_state.jobs.get(job_id)
            cluster.unheard_cancellations += (
                old.leader_lease.end_reason == "" and known is not None and not known.final_state
            )

    cluster.schedule_action(lose)
    return cluster


def test_cancels_through_the_new_leader_reach_tasks_that_the_old_one_keeps() -> None:
    unheard = 0
    for seed in range(7730, 7738):
        cluster = cut_world(seed)
        check(cluster.run(length_s=70, job_count=14))
        unheard += cluster.unheard_cancellations
        for job_id, last in cluster.last_seen_running.items():
            assert last - cluster.cancelled_at[job_id] <= cluster.cancel_deadline_s - 1.9, f"seed {seed}: {job_id}"
    assert unheard >= 10, "the old leader was gone before any cancel"


def nobody_ends_a_term(patch: Patch) -> None:
    patch.setattr(AnswerAuthority, "may_answer", lambda self, at: True)
    patch.setattr(LeaderLease, "end", lambda self, reason: None)
    patch.setattr(LeaderSearch, "should_redirect", lambda self, *told: False)


def test_a_cut_leader_that_goes_on_is_caught(monkeypatch: Patch) -> None:
    nobody_ends_a_term(monkeypatch)
    assert is_caught(cut_world, range(7730, 7745), "ran_cancelled", 70)


class Apart(LongTaskCluster):
    """Workers of other zones do not reach one node."""

    apart = ""

    async def deliver_heartbeat(
        self, worker: SimulatedWorker, controller_index: int, body: dict[str, Any]
    ) -> Response | None:
        controller = self.nodes[controller_index]
        if controller.name == self.apart and worker.machine.zone != controller.zone:
            await asyncio.sleep(4.0)
            return None
        return await super().deliver_heartbeat(worker, controller_index, body)


def renewals_refused(seed: int) -> LongTaskCluster:
    """Nothing can be written or renewed, in a zone that is cut: the leader goes on to read, and to be reported to."""
    cluster = Apart(seed, controller_count=2, scale=3)

    async def refuse(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, Apart)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        plain = cluster.state.handle

        async def handle(name: str, method: str, path: str, body: object) -> Reply:
            if name == node.name and method != "GET":
                return Reply(429, b"{}")
            return await plain(name, method, path, body)

        cluster.state.handle = handle  # type: ignore[method-assign, assignment]
        node.network_faults["peers"] = "refused"
        cluster.partitioned_zones.add(node.zone)
        cluster.apart = node.name
        begun = virtual_now()
        while node.service is not None and node.service.leader_term is not None and virtual_now() < begun + 45:
            await asyncio.sleep(0.1)
        cluster.unheard_cancellations = sum(node.zone == worker.machine.zone for worker in cluster.workers.values())

    cluster.schedule_action(refuse)
    return cluster


def rights_by_news_alone(patch: Patch) -> None:
    patch.setattr(
        AnswerAuthority,
        "may_answer",
        lambda self, at: (
            at - self.cancellations_read_at < self.cluster_state.stale_cancellation_window
            and not self.leader_lease.ended.is_set()
        ),
    )


@pytest.mark.parametrize("broken", [False, True])
def test_a_leader_that_reads_and_cannot_renew_keeps_no_task_beyond_what_its_successor_counts_on(
    broken: bool, monkeypatch: Patch
) -> None:
    # Giving silent machines back would prove their tasks gone.
    monkeypatch.setattr("roseweir.cloud.controller.plan_scale_in", lambda board, left, at, kept: [])
    # As if nobody that it sends to look for another leader found one: what is shown is the bound alone.
    monkeypatch.setattr(LeaderSearch, "has_found_leader", lambda self, at: False)
    if broken:
        rights_by_news_alone(monkeypatch)
    days = [renewals_refused(seed).run(length_s=85, job_count=14) for seed in range(7740, 7744)]
    if broken:
        assert any("ran_twice" in str(error) for day in days for error in day.rule_violations)
        return
    for day in days:
        check(day)
    assert all(day.unheard_cancellations for day in days if isinstance(day, LongTaskCluster))


# -- the word of the other controllers ---------------------------------------------------------------


def out_for_all(seed: int, what: str) -> tuple[LongTaskCluster, dict[str, Any]]:
    """The state service is down for two minutes; before, the leader may be refused alone while jobs are cancelled."""
    cluster = LongTaskCluster(seed, restart_delay_range_s=(0.1, 0.1))
    seen: dict[str, Any] = {}

    async def act(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, LongTaskCluster)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        others = [n for n in cluster.nodes if n is not node]
        held = sorted({task.job_id for _, task in cluster.active_tasks()})
        seen["sessions"] = {name: worker.incarnation for name, worker in cluster.workers.items()}
        cluster.state.refused_controllers.add(node.name)
        await asyncio.sleep(0.8)
        for job_id in held[::2] if what != "nobody" else ():
            await cluster.cancel_via_others(job_id, node.name)
        seen["cancelled"] = len(cluster.cancelled_at)
        await asyncio.sleep(0.2)
        cluster.state.is_down = True
        if what == "restarted":
            for each in others:
                cluster.spawn(cluster.restart_controller(each))
        elif what == "cut":
            others[0].network_faults["peers"] = "silent"
        elif what == "frozen":
            others[0].pause_gate.pause()
        await asyncio.sleep(45)
        seen["after"] = {name: worker.incarnation for name, worker in cluster.workers.items()}
        seen["there"] = sorted({task.job_id for _, task in cluster.active_tasks()} & set(cluster.cancelled_at))
        for each in others:
            each.network_faults.clear()
            each.pause_gate.resume()
        cluster.state.end_outage()
        cluster.state.refused_controllers.clear()

    cluster.schedule_action(act)
    cluster.task_duration_s = 200.0
    return cluster, seen


@pytest.mark.parametrize("what", ["nobody", "cancels"])
def test_in_an_outage_of_all_the_word_of_all_controllers_keeps_every_lease_and_stops_what_was_cancelled(
    what: str,
) -> None:
    for seed in range(7850, 7853):
        cluster, seen = out_for_all(seed, what)
        check(cluster.run(length_s=85, job_count=10))
        assert seen["after"] == seen["sessions"] and not seen["there"], "leases ran out"
        assert (seen["cancelled"] > 0) == (what == "cancels")
        for job_id, last in cluster.last_seen_running.items():
            assert last - cluster.cancelled_at[job_id] < 7.0, "it had to wait for its lease"


@pytest.mark.parametrize("what", ["restarted", "cut", "frozen"])
def test_a_controller_that_began_anew_is_cut_off_or_stands_still_gives_no_word(what: str) -> None:
    for seed in range(7850, 7853):
        cluster, seen = out_for_all(seed, what)
        check(cluster.run(length_s=85, job_count=10))
        assert seen["cancelled"] > 0 and not seen["there"]
        assert all(seen["after"].get(name, 0) != session for name, session in seen["sessions"].items())


def what_an_earlier_process_told_is_forgotten(patch: Patch) -> None:
    from roseweir.submissions.terminal_state_cache import TerminalStateCache

    patch.setattr(
        TerminalStateCache,
        "acknowledged_since",
        lambda self, span: [job for at, job in self._acknowledged_cancellations if at >= monotonic_now() - span],
    )


def most_are_enough(patch: Patch) -> None:
    """The word of those that answer counts for all."""
    from roseweir.membership.messages import AcknowledgedCancellations
    from roseweir.membership.peers import PeerClients

    plain = PeerClients.fetch_acknowledged_cancellations

    async def some(self: PeerClients, span: Any) -> AcknowledgedCancellations | None:
        peers, found = self._transports, AcknowledgedCancellations(0, [])
        for name, peer in peers.items():
            self._transports = {name: peer}
            told = await plain(self, span)
            if told is not None:
                found = AcknowledgedCancellations(
                    max(found.term, told.term), (found.job_ids or []) + (told.job_ids or [])
                )
        self._transports = peers
        return found

    patch.setattr(PeerClients, "fetch_acknowledged_cancellations", some)


@pytest.mark.parametrize(
    ("broken", "what"),
    [(what_an_earlier_process_told_is_forgotten, "restarted"), (most_are_enough, "cut"), (most_are_enough, "frozen")],
)
def test_a_word_that_proves_nothing_is_caught(broken: Callable[[Patch], None], what: str, monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert is_caught(lambda seed: out_for_all(seed, what)[0], range(7850, 7860), "ran_cancelled", 85, 10)


def slow_for_all(seed: int) -> tuple[LongTaskCluster, list[dict[str, int]]]:
    """Every answer of the state service takes longer than a renewal is waited for; all that is asked is carried out."""
    cluster = LongTaskCluster(seed)
    sessions: list[dict[str, int]] = []

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(24)
        plain = cluster.state.handle

        async def handle(name: str, method: str, path: str, body: object) -> Reply:
            answer = await plain(name, method, path, body)
            await asyncio.sleep(1.5)
            return answer

        sessions.append({name: worker.incarnation for name, worker in cluster.workers.items()})
        cluster.state.handle = handle  # type: ignore[method-assign, assignment]
        await asyncio.sleep(40)
        cluster.state.handle = plain  # type: ignore[method-assign]
        sessions.append({name: worker.incarnation for name, worker in cluster.workers.items()})

    cluster.schedule_action(act)
    return cluster, sessions


def test_a_leader_whose_renewals_are_answered_too_late_goes_by_the_word_of_the_others() -> None:
    for seed in range(7870, 7873):
        cluster, sessions = slow_for_all(seed)
        check(cluster.run(length_s=90, job_count=10))
        before, after = sessions
        assert before and all(after.get(name) == session for name, session in before.items()), "leases ran out"
