"""Several versions of the service in one process: the present tree and commits of the repository's history.

The version in production is the commit that `deploy/service.toml` names. The package of a commit is extracted from the
history and imported as `roseweir_` and the commit; all its imports, also those inside functions, are renamed to match.
So versions run in one simulated cluster, on one virtual clock, each with its own classes, and they exchange data only
as JSON.
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
COMMIT_DIGITS = 12  # of the commit's hash, in the package name

# The last commit of the rework that renamed most of the package. A version that descends from it is looked up by its
# present names only, because some older names have another meaning there.
RENAMING_COMMIT = "177a1326a7947a172d1dd862936707f7fcf0f806"

# Names that differ between the present tree and versions that do not descend from RENAMING_COMMIT, each as present
# name -> older name. If such a version lacks the older name, the present one is used.
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
# Classes and functions, by present module and name: {"notifier:Notifier": "Bell"}. The older name includes its module
# if that is not the one in MODULES_IN_HISTORY: {"service:Service": "service:Service"}.
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
# Settings fields whose encoded names differ, by present name: {"operator_config:OperatorConfig.ahead": "ahead"}.
FIELDS_IN_HISTORY: dict[str, str] = {}
# Keyword arguments that a service passes to its transport.
KEYWORDS_IN_HISTORY: dict[str, str] = {"timeout": "patience"}


class HistoryMissing(Exception):
    """The repository's history does not hold the version in production; the message is one line for the operator."""


@dataclass(frozen=True)
class Version:
    """One version of the service, identified by the package that holds its modules."""

    package: str

    def module(self, path: str) -> Any:
        """This version's module for a present module path below the package.

        ModuleNotFoundError if this version has neither that path nor the one in MODULES_IN_HISTORY.
        """
        path_in_history = MODULES_IN_HISTORY.get(path)
        if path_in_history is not None and self.has_older_names and self._has_module(path_in_history):
            path = path_in_history
        return importlib.import_module(f"{self.package}.{path}")

    def locate(self, path: str, name: str) -> tuple[Any, str]:
        """This version's module for a class or function, and its name there, by present module and name."""
        module_in_history, _, name_in_history = NAMES_IN_HISTORY.get(f"{path}:{name}", "").rpartition(":")
        if module_in_history and self.has_older_names and self._has_module(module_in_history):
            module = importlib.import_module(f"{self.package}.{module_in_history}")
            if hasattr(module, name_in_history):
                return module, name_in_history
        module = self.module(path)
        return module, self._name_of(module, name_in_history or None, name)

    def find(self, path: str, name: str) -> Any:
        """This version's class or function, by present module and name; AttributeError if it has none."""
        module, name_in_version = self.locate(path, name)
        return getattr(module, name_in_version)

    def attribute(self, value: Any, path: str) -> Any:
        """An attribute of an object of this version, by present dotted path; None if an intermediate one is None."""
        for name in path.split("."):
            if value is None:
                return None
            value = getattr(value, self._name_of(value, ATTRIBUTES_IN_HISTORY.get(name), name))
        return value

    def _name_of(self, owner: Any, name_in_history: str | None, present_name: str) -> str:
        return (
            present_name
            if name_in_history is None or not self.has_older_names or not hasattr(owner, name_in_history)
            else name_in_history
        )

    def _has_module(self, path: str) -> bool:
        try:
            return find_spec(f"{self.package}.{path}") is not None
        except ModuleNotFoundError:
            return False  # the parent package is missing too

    @property
    def is_present(self) -> bool:
        return self.package == PACKAGE

    @property
    def has_older_names(self) -> bool:
        """Whether the tables of names in history apply to this version."""
        return self.package in PACKAGES_WITH_OLDER_NAMES

    def make_service(self, settings: Settings, operator_config: OperatorConfig, connect: Callable[..., Any]) -> Any:
        """Creates a controller process of this version that sends its requests through `connect`."""
        service_class = self.find("controller.process", "ControllerProcess")
        if self.is_present:
            return service_class(settings, operator_config, connect)
        service = service_class(self.adopt(settings), self.adopt(operator_config), self._translate_transport(connect))
        # Set under their present names, by which the simulated cluster calls them.
        service.serve_public, service.serve_peer = (
            self._translate_messages(self.attribute(service, "serve_public")),
            self._translate_messages(self.attribute(service, "serve_peer")),
        )
        return service

    def adopt(self, value: Any) -> Any:
        """Converts a value of the present version's classes to this version's, without the fields that these lack.

        Fields are matched by their encoded names, which stay when a field is renamed.
        """
        if isinstance(value, msgspec.Struct):
            path = type(value).__module__.removeprefix(PACKAGE + ".")
            class_name = type(value).__name__
            own_class = self.find(path, class_name)
            own_fields = dict(zip(own_class.__struct_encode_fields__, own_class.__struct_fields__, strict=True))
            field_values = {}
            for encoded, field in zip(value.__struct_encode_fields__, value.__struct_fields__, strict=True):
                encoded_in_history = FIELDS_IN_HISTORY.get(f"{path}:{class_name}.{encoded}", encoded)
                own_field = own_fields.get(encoded_in_history, own_fields.get(encoded))
                if own_field is not None:
                    field_values[own_field] = self.adopt(getattr(value, field))
            return own_class(**field_values)
        if isinstance(value, list):
            return [self.adopt(item) for item in value]
        if isinstance(value, dict):
            return {key: self.adopt(item) for key, item in value.items()}
        return value

    def make_request(self, method: str, path: str, body: bytes) -> Request:
        """A request to a controller, in the present version's class; an older version's handlers convert it."""
        return Request(method, path, body)

    def _translate_messages(self, handler: Callable[[Any], Awaitable[Any]]) -> Callable[[Request], Awaitable[Response]]:
        """Wraps a handler of this version so that it takes and returns the present version's requests and responses."""
        own_request = self.find("http", "Request")

        async def serve(request: Request) -> Response:
            response = await handler(own_request(request.method, request.path, request.body, request.is_too_large))
            status, body, headers, close = (
                self.attribute(response, name) for name in ("status", "body", "headers", "close")
            )
            return Response(status, body, headers, close)

        return serve

    def _translate_transport(self, connect: Callable[..., Any]) -> Callable[..., Any]:
        """Wraps a transport so that its replies and errors are of this version's classes."""
        own_unreachable, own_reply = self.find("http", "Unreachable"), self.find("http", "Reply")
        keywords = {
            keyword_in_history: present_keyword for present_keyword, keyword_in_history in KEYWORDS_IN_HISTORY.items()
        }

        def connect_own(address: str, pool: int) -> Callable[..., Coroutine[Any, Any, Any]]:
            send = connect(address, pool)

            async def send_own(*request: Any, **keywords_given: Any) -> Any:
                try:
                    reply: Reply = await send(
                        *request, **{keywords.get(keyword, keyword): value for keyword, value in keywords_given.items()}
                    )
                except Unreachable as e:
                    raise own_unreachable(str(e), e.connected) from e
                return own_reply(reply.status, reply.body)

            return send_own

        return connect_own


PRESENT = Version(PACKAGE)
LOADED = [PRESENT]  # all versions that this process has imported
# The packages of loaded versions that do not descend from RENAMING_COMMIT.
PACKAGES_WITH_OLDER_NAMES: set[str] = set()


def production() -> Version:
    """The version in production; HistoryMissing if the repository's history does not hold it."""
    return load(production_commit())


@cache
def load(commit: str) -> Version:
    """The version at a commit, by its full hash; HistoryMissing if the repository's history does not hold it."""
    package = f"{PACKAGE}_{commit[:COMMIT_DIGITS]}"
    sys.meta_path.insert(0, _Finder(package, extract(commit)))
    if not descends_from(commit, RENAMING_COMMIT):
        PACKAGES_WITH_OLDER_NAMES.add(package)
    LOADED.append(Version(package))
    return LOADED[-1]


def full_hash(name: str, root: Path = ROOT) -> str:
    """The full hash of a commit by any name that git resolves; HistoryMissing if git does not resolve it."""
    try:
        result = subprocess.run(
            ["git", "-C", str(root), "rev-parse", "--verify", "--quiet", "--end-of-options", name + "^{commit}"],
            capture_output=True,
            check=True,
        )
    except (FileNotFoundError, subprocess.CalledProcessError, ValueError):
        raise HistoryMissing(f"the history of {root} does not hold a commit {name!r}") from None
    return result.stdout.decode().strip()


def descends_from(commit: str, ancestor: str, root: Path = ROOT) -> bool:
    """Whether a commit is the other one or descends from it; HistoryMissing if the history lacks one of them."""
    try:
        result = subprocess.run(
            ["git", "-C", str(root), "merge-base", "--is-ancestor", ancestor, commit], capture_output=True, check=False
        )
    except FileNotFoundError:
        raise HistoryMissing(f"git is not installed, so the names in version {commit} can't be determined") from None
    if result.returncode not in (0, 1):
        raise HistoryMissing(f"the history of {root} lacks {ancestor} or {commit} (a shallow clone? fetch all of it)")
    return result.returncode == 0


def production_commit() -> str:
    """The commit in production, as `deploy/service.toml` names it."""
    return str(tomllib.loads(DEPLOYMENT.read_text())["production"])


def extract(commit: str, root: Path = ROOT, cache: Path = CACHE) -> Path:
    """The directory of the commit's package; it is extracted from the history once and cached."""
    target = cache / commit
    if (target / PACKAGE / "__init__.py").is_file():
        return target / PACKAGE
    try:
        archive = subprocess.run(
            ["git", "-C", str(root), "archive", "--format=tar", commit, PACKAGE], capture_output=True, check=True
        ).stdout
    except FileNotFoundError:
        raise HistoryMissing(f"git is not installed, so version {commit} can't be taken from the history") from None
    except subprocess.CalledProcessError as error:
        reason = error.stderr.decode(errors="replace").strip().partition("\n")[0]
        raise HistoryMissing(
            f"the history of {root} does not hold version {commit} (a shallow clone? fetch all of it): {reason}"
        ) from None
    # Extracted elsewhere and renamed, so that concurrent test processes never see a partial directory.
    cache.mkdir(parents=True, exist_ok=True)
    partial = Path(mkdtemp(dir=cache))
    with tarfile.open(fileobj=BytesIO(archive)) as tar:
        tar.extractall(partial, filter="data")
    try:
        partial.rename(target)
    except OSError:
        rmtree(partial)  # another process extracted it first
    return target / PACKAGE


class _ImportRenamer(ast.NodeTransformer):
    """Rewrites imports of the package to its name for this version."""

    def __init__(self, package: str) -> None:
        self.package = package

    def _renamed_module(self, module: str) -> str:
        head, dot, rest = module.partition(".")
        return self.package + dot + rest if head == PACKAGE else module

    def visit_Import(self, node: ast.Import) -> ast.Import:
        for alias in node.names:
            alias.name = self._renamed_module(alias.name)
        return node

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.ImportFrom:
        if node.module is not None and node.level == 0:
            node.module = self._renamed_module(node.module)
        return node


class _Loader(SourceFileLoader):
    def source_to_code(self, data: Any, path: Any, **options: Any) -> Any:  # type: ignore[override]
        package = self.name.partition(".")[0]
        tree = _ImportRenamer(package).visit(ast.parse(data))
        return compile(tree, path, "exec", dont_inherit=True)


class _Finder(importlib.abc.MetaPathFinder):
    """Finds the modules of one version's package under its name for this version."""

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
