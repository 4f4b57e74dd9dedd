"""Versions of the service side by side in one process: the present tree, and versions of its history.

The version in production is the commit that `deploy/service.toml` names. Its package, as that of any other commit,
comes from the repository's own history, and is imported under a name of its own (`roseweir_` and the commit), imports
inside functions among them. So versions run in one simulated world, on one virtual clock, with classes of their own,
and whatever goes from one to the other goes as JSON.
"""

import ast
import importlib
import importlib.abc
import subprocess
import sys
import tarfile
import tomllib
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from functools import cache
from importlib.machinery import FileFinder, ModuleSpec, SourceFileLoader
from importlib.util import find_spec, spec_from_file_location
from io import BytesIO
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp
from types import ModuleType
from typing import Any

import msgspec

from roseweir.http import Reply, Request, Response, Unreachable
from roseweir.operator_config import OperatorConfig
from roseweir.settings import Settings

ROOT = Path(__file__).resolve().parent.parent
DEPLOYMENT = ROOT / "deploy" / "service.toml"
CACHE = ROOT / "target" / "versions"
PACKAGE = "roseweir"
COMMIT_DIGITS = 12  # of the commit, in the package's name

# Names that differ between the present tree and versions of the history, each as name now -> name then. A version of
# the history that lacks the name then is looked at under the name now, so the tables serve commits on both sides of a
# renaming.
#
# Modules below the package: {"notifier": "bell"}.
MODULES_IN_HISTORY: dict[str, str] = {
    "controller.process": "service",
    "delivery_deadlines.controller": "promises.desk",
    "delivery_deadlines.deadline_status": "promises.track",
    "delivery_deadlines.handlers": "promises.messages",
    "delivery_deadlines.night_report": "promises.track",
    "delivery_deadlines.settings": "promises.settings",
    "delivery_deadlines.step_durations": "promises.track",
    "drain.api": "drain.messages",
    "forecast.demand_history": "forecast.history",
    "forecast.predictive_scaler": "forecast.desk",
    "kv_store": "state",
    "leader_election.election": "leadership.leadership",
    "leader_election.lease": "leadership.leadership",
    "leader_election.messages": "leadership.messages",
    "notifier": "bell",
    "operator_config": "tuning",
    "rebalancing.move_planning": "packing.moves",
    "rebalancing.settings": "packing.settings",
    "scheduler.cluster_state": "placement.board",
    "scheduler.log_segments": "placement.record",
    "scheduler.log_writer": "placement.recorder",
    "service_levels.accounting": "served.account",
    "service_levels.messages": "served.messages",
    "submissions.handlers": "submissions.desk",
    "submissions.task_bitmap": "submissions.progress",
    "workflows.handlers": "chains.messages",
    "workflows.settings": "chains.settings",
    "workflows.store": "chains.store",
}
# Classes and functions, by module and name now: {"notifier:Notifier": "Bell"}. One that was in another module than
# MODULES_IN_HISTORY has for its module now is given with the module then: {"service:Service": "service:Service"}.
NAMES_IN_HISTORY: dict[str, str] = {
    "calendars:CalendarEvent": "Event",
    "clock:monotonic_now": "steady",
    "clock:utc_now": "wall",
    "controller.process:ControllerProcess": "Service",
    "controller.process:SubmissionHandlers": "Desk",
    "delivery_deadlines.controller:SAVE_INTERVAL": "SAVE",
    "delivery_deadlines.handlers:DeadlineRequest": "Question",
    "delivery_deadlines.night_report:NightReport": "Night",
    "delivery_deadlines.settings:DeadlinePolicy": "Promise",
    "delivery_deadlines.settings:DeadlineSettings": "PromiseSettings",
    "delivery_deadlines.step_durations:StepDurations": "Times",
    "drain.api:DrainCommand": "Order",
    "drain.settings:AutoReplacementSettings": "OwnReasons",
    "drain.settings:DisruptionBudget": "Budget",
    "drain.settings:QuietHours": "Quiet",
    "drain.store:CORDONS_KEY_PREFIX": "STEPS",
    "drain.store:DISRUPTIONS_KEY_PREFIX": "ACCOUNT",
    "drain.store:DrainStore": "Store",
    "drain.store:REBALANCING_KEY": "MOVES",
    "drain.store:REQUEST_KEY_PREFIX": "ASK",
    "forecast.demand_history:DemandHistory": "History",
    "forecast.predictive_scaler:SAVE_INTERVAL": "SAVE",
    "forecast.settings:PredictiveScalingSettings": "AheadSettings",
    "leader_election.lease:LeaderLease": "Term",
    "leader_election.messages:ReachabilityAnswer": "Reach",
    "leader_election.messages:ReachabilityQuery": "Ask",
    "membership.messages:AcknowledgedCancellations": "Told",
    "membership.messages:AcknowledgedCancellationsQuery": "AskTold",
    "notifier:Notifier": "Bell",
    "operator_config:OperatorConfig": "Tuning",
    "rebalancing.move_planning:MovePlan": "Plan",
    "rebalancing.settings:RebalancingSettings": "PackingSettings",
    "scheduler.cluster_state:ClusterState": "Board",
    "scheduler.log_segments:SegmentTable": "Pages",
    "scheduler.log_writer:LogWriter": "Recorder",
    "service_levels.accounting:ServiceLevelAccount": "Account",
    "service_levels.messages:RejectedRequests": "Turned",
    "settings:AnnouncedStoreLimits": "NextStateLimits",
    "settings:ClusterParameters": "Params",
    "settings:KeyValueStoreSettings": "StateSettings",
    "settings:NonNegative": "NotNegative",
    "settings:ServiceLevelObjective": "Objective",
    "settings:ValueKib": "ValueKb",
    "submissions.handlers:SubmissionHandlers": "Desk",
    "submissions.jobs:LIVE_JOB_PREFIX": "LIVE",
    "submissions.jobs:decode_completed_job": "read_ended",
    "submissions.jobs:decode_job_spec": "read_spec",
    "submissions.jobs:to_stored": "stored",
    "submissions.task_bitmap:decode_task_numbers": "decode_bits",
    "submissions.task_bitmap:encode_bitmap": "encode_bits",
    "workflows.handlers:WorkflowRequest": "Order",
    "workflows.settings:WorkflowSettings": "ChainSettings",
    "workflows.store:WorkflowStore": "Store",
}
# Attributes of a running service that tests read, and fields of requests and responses: {"leader_term": "reign"}.
ATTRIBUTES_IN_HISTORY: dict[str, str] = {
    "_fetch_progress": "_progress",
    "_gather_rejections": "_gather_turned_away",
    "_restore_state": "_use",
    "acknowledged_cancellations_since": "cancelled_since",
    "auto_replacement": "own",
    "cluster_state": "board",
    "deltas": "notes",
    "drain_controller": "drain",
    "encode_cordons": "steps",
    "encode_disruptions": "account",
    "encode_segment": "value",
    "failed_terms": "faults",
    "failure": "broken",
    "fetch_acknowledged_cancellations": "ask_told",
    "fetch_latest_leader": "ask_peers",
    "is_ready": "open",
    "job_ids": "cancelled",
    "leader_election": "leadership",
    "leader_lease": "term",
    "leader_term": "reign",
    "load_block": "take",
    "load_records": "use",
    "load_segment": "load",
    "encode": "value",
    "encode_page": "value",
    "open_blocks": "blocks",
    "restore": "use",
    "placement_progress": "reached",
    "rate_windows": "windows",
    "rebalancing": "moves",
    "run_background_tasks": "duties",
    "serve_peer": "back",
    "serve_public": "public",
    "submission_handlers": "desk",
    "term": "number",
}
# Fields of settings by their encoded names, where these differ too: {"operator_config:OperatorConfig.ahead": "ahead"}.
FIELDS_IN_HISTORY: dict[str, str] = {}
# Keywords that a service gives its transport.
KEYWORDS_IN_HISTORY: dict[str, str] = {"timeout": "patience"}


class HistoryMissing(Exception):
    """The repository's history does not hold the version in production; the message is one line for the operator."""


@dataclass(frozen=True)
class Version:
    """One version of the service: the package that its modules are found in."""

    package: str

    def module(self, path: str) -> Any:
        """A module of this version's, by the name that it has now below the package.

        ModuleNotFoundError if this version has it neither under that name nor under the one in MODULES_IN_HISTORY.
        """
        then = MODULES_IN_HISTORY.get(path)
        if then is not None and not self.is_present and self._has_module(then):
            path = then
        return importlib.import_module(f"{self.package}.{path}")

    def locate(self, path: str, name: str) -> tuple[Any, str]:
        """The module of this version's that has a class or function, and its name there, by module and name now."""
        module_then, _, name_then = NAMES_IN_HISTORY.get(f"{path}:{name}", "").rpartition(":")
        if module_then and not self.is_present and self._has_module(module_then):
            module = importlib.import_module(f"{self.package}.{module_then}")
            if hasattr(module, name_then):
                return module, name_then
        module = self.module(path)
        return module, self._name_of(module, name_then or None, name)

    def find(self, path: str, name: str) -> Any:
        """A class or function of this version's, by its module and name now; AttributeError if it has none."""
        module, own_name = self.locate(path, name)
        return getattr(module, own_name)

    def attribute(self, value: Any, path: str) -> Any:
        """An attribute of an object of this version's, by its dotted path now; None if one on the way is None."""
        for name in path.split("."):
            if value is None:
                return None
            value = getattr(value, self._name_of(value, ATTRIBUTES_IN_HISTORY.get(name), name))
        return value

    def _name_of(self, owner: Any, then: str | None, now: str) -> str:
        return now if then is None or self.is_present or not hasattr(owner, then) else then

    def _has_module(self, path: str) -> bool:
        try:
            return find_spec(f"{self.package}.{path}") is not None
        except ModuleNotFoundError:
            return False  # not even the package around it

    @property
    def is_present(self) -> bool:
        return self.package == PACKAGE

    def make_service(self, settings: Settings, tuning: OperatorConfig, connect: Callable[..., Any]) -> Any:
        """A controller of this version's, which talks to its surroundings by `connect`."""
        service_class = self.find("controller.process", "ControllerProcess")
        if self.is_present:
            return service_class(settings, tuning, connect)
        service = service_class(self.adopt(settings), self.adopt(tuning), self._translated(connect))
        # Under the names that they have now, so that the world finds them there.
        service.serve_public, service.serve_peer = (
            self._with_own_messages(self.attribute(service, "serve_public")),
            self._with_own_messages(self.attribute(service, "serve_peer")),
        )
        return service

    def adopt(self, value: Any) -> Any:
        """A value of the present version's classes as one of this version's, without the fields that it lacks.

        Fields are matched by their encoded names, which stay when a field is renamed.
        """
        if isinstance(value, msgspec.Struct):
            path = type(value).__module__.removeprefix(PACKAGE + ".")
            class_name = type(value).__name__
            own = self.find(path, class_name)
            own_fields = dict(zip(own.__struct_encode_fields__, own.__struct_fields__, strict=True))
            found = {}
            for encoded, field in zip(value.__struct_encode_fields__, value.__struct_fields__, strict=True):
                then = FIELDS_IN_HISTORY.get(f"{path}:{class_name}.{encoded}", encoded)
                own_field = own_fields.get(then, own_fields.get(encoded))
                if own_field is not None:
                    found[own_field] = self.adopt(getattr(value, field))
            return own(**found)
        if isinstance(value, list):
            return [self.adopt(each) for each in value]
        if isinstance(value, dict):
            return {key: self.adopt(each) for key, each in value.items()}
        return value

    def make_request(self, method: str, path: str, body: bytes) -> Request:
        """A request to a controller: each takes the present version's and makes its own of it."""
        return Request(method, path, body)

    def _with_own_messages(self, handler: Callable[[Any], Awaitable[Any]]) -> Callable[[Request], Awaitable[Response]]:
        """A handler of this version's that takes the present version's requests and gives its responses."""
        own_request = self.find("http", "Request")

        async def serve(request: Request) -> Response:
            response = await handler(own_request(request.method, request.path, request.body, request.is_too_large))
            status, body, headers, close = (
                self.attribute(response, name) for name in ("status", "body", "headers", "close")
            )
            return Response(status, body, headers, close)

        return serve

    def _translated(self, connect: Callable[..., Any]) -> Callable[..., Any]:
        """A transport whose answers and errors are of this version's classes."""
        own_unreachable, own_reply = self.find("http", "Unreachable"), self.find("http", "Reply")
        keywords = {then: now for now, then in KEYWORDS_IN_HISTORY.items()}

        def connect_own(address: str, pool: int) -> Callable[..., Coroutine[Any, Any, Any]]:
            send = connect(address, pool)

            async def send_own(*request: Any, **options: Any) -> Any:
                try:
                    found: Reply = await send(*request, **{keywords.get(k, k): v for k, v in options.items()})
                except Unreachable as e:
                    raise own_unreachable(str(e), e.connected) from e
                return own_reply(found.status, found.body)

            return send_own

        return connect_own


PRESENT = Version(PACKAGE)
LOADED = [PRESENT]  # all versions that this process has imported


def production() -> Version:
    """The version in production; HistoryMissing if the repository's history does not hold it."""
    return load(production_commit())


@cache
def load(commit: str) -> Version:
    """The version at a commit, by its full hash; HistoryMissing if the repository's history does not hold it."""
    package = f"{PACKAGE}_{commit[:COMMIT_DIGITS]}"
    sys.meta_path.insert(0, _Finder(package, extract(commit)))
    LOADED.append(Version(package))
    return LOADED[-1]


def full_hash(name: str, root: Path = ROOT) -> str:
    """The full hash of a commit given by any name that git knows; HistoryMissing if it knows none such."""
    try:
        found = subprocess.run(
            ["git", "-C", str(root), "rev-parse", "--verify", "--quiet", "--end-of-options", name + "^{commit}"],
            capture_output=True,
            check=True,
        )
    except (FileNotFoundError, subprocess.CalledProcessError, ValueError):
        raise HistoryMissing(f"the history of {root} does not hold a commit {name!r}") from None
    return found.stdout.decode().strip()


def production_commit() -> str:
    """The commit that serves now, by the deployment's own word."""
    return str(tomllib.loads(DEPLOYMENT.read_text())["production"])


def extract(commit: str, root: Path = ROOT, cache: Path = CACHE) -> Path:
    """The directory of the commit's package, taken from the history once."""
    target = cache / commit
    if (target / PACKAGE / "__init__.py").is_file():
        return target / PACKAGE
    try:
        archive = subprocess.run(
            ["git", "-C", str(root), "archive", "--format=tar", commit, PACKAGE], capture_output=True, check=True
        ).stdout
    except FileNotFoundError:
        raise HistoryMissing(f"git is not installed, so version {commit} can't be taken from the history") from None
    except subprocess.CalledProcessError as e:
        why = e.stderr.decode(errors="replace").strip().partition("\n")[0]
        raise HistoryMissing(
            f"the history of {root} does not hold version {commit} (a shallow clone? fetch all of it): {why}"
        ) from None
    # Complete or not at all, also when several test processes do it at once.
    cache.mkdir(parents=True, exist_ok=True)
    partial = Path(mkdtemp(dir=cache))
    with tarfile.open(fileobj=BytesIO(archive)) as tar:
        tar.extractall(partial, filter="data")
    try:
        partial.rename(target)
    except OSError:
        rmtree(partial)  # another process was first
    return target / PACKAGE


class _Renaming(ast.NodeTransformer):
    """Imports of the package become imports under its other name."""

    def __init__(self, package: str) -> None:
        self.package = package

    def _renamed(self, module: str) -> str:
        head, dot, rest = module.partition(".")
        return self.package + dot + rest if head == PACKAGE else module

    def visit_Import(self, node: ast.Import) -> ast.Import:
        for alias in node.names:
            alias.name = self._renamed(alias.name)
        return node

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.ImportFrom:
        if node.module is not None and node.level == 0:
            node.module = self._renamed(node.module)
        return node


class _Loader(SourceFileLoader):
    def source_to_code(self, data: Any, path: Any, **options: Any) -> Any:  # type: ignore[override]
        package = self.name.partition(".")[0]
        tree = _Renaming(package).visit(ast.parse(data))
        return compile(tree, path, "exec", dont_inherit=True)


class _Finder(importlib.abc.MetaPathFinder):
    """Finds one package's modules under its other name."""

    def __init__(self, package: str, directory: Path) -> None:
        self.package, self.directory = package, directory

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        if fullname == self.package:
            file = self.directory / "__init__.py"
            return spec_from_file_location(
                fullname, file, loader=_Loader(fullname, str(file)), submodule_search_locations=[str(self.directory)]
            )
        if fullname.startswith(self.package + ".") and path:
            return FileFinder(path[0], (_Loader, [".py"])).find_spec(fullname)
        return None
