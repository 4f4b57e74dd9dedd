"""What a version makes of a stored value: read it as a new leader does, and write it again with nothing changed."""

from types import SimpleNamespace
from typing import Any

import msgspec

from roseweir.state.limits import Limits
from tests.versions import Version
from tests.world import settings

_STATE_SETTINGS = settings(0).params.state
STATE = SimpleNamespace(settings=_STATE_SETTINGS, limits=Limits(_STATE_SETTINGS))
ROOM = 8 * 1024


def rewrite(version: Version, key: str, value: Any) -> Any:
    """The value as this version would write it, or an error where it would refuse it."""
    family, _, rest = key.partition("/")
    if family == "drain":
        return _rewrite_drains(version, key, value)
    return REWRITERS[family](version, key, rest, value)


def _convert(version: Version, module: str, name: str, value: Any) -> Any:
    return msgspec.to_builtins(msgspec.convert(value, getattr(version.module(module), name)))


def _live(version: Version, key: str, rest: str, value: Any) -> Any:
    jobs = version.module("submissions.jobs")
    return jobs.stored(jobs.read_spec(value))


def _over(version: Version, key: str, rest: str, value: Any) -> Any:
    jobs = version.module("submissions.jobs")
    return jobs.stored(jobs.read_ended(value))


def _done(version: Version, key: str, rest: str, value: Any) -> Any:
    """The same tasks; how many zeros follow the last one is the writer's own affair."""
    progress = version.module("submissions.progress")
    done = set(progress.decode_bits(value, 0))
    bits = bytearray(max(done) // 8 + 1)
    for index in done:
        bits[index // 8] |= 1 << index % 8
    assert set(progress.decode_bits(progress.encode_bits(bytes(bits)), 0)) == done
    return value


def _places(version: Version, key: str, rest: str, value: Any) -> Any:
    pages = version.find("placement.record", "Pages")(ROOM)
    pages.load(int(rest), value, 1)
    return pages.value(int(rest))


def read_note(version: Version, key: str, value: Any, live: dict[str, Any]) -> Any:
    """What a new leader takes from a note of starts and completions; `live`: all jobs' records."""
    jobs = version.module("submissions.jobs")
    entry = version.find("state", "Entry")
    board = version.find("placement.board", "Board")(
        version.adopt(settings(0)), version.find("tuning", "Tuning")(), 1, version.find("clock", "steady")()
    )
    board.catalog = {
        name: jobs.MachineType(name, 64.0, 8.0, 512.0, 0.0, 1.0, 1.0, 1.0, 1.0, ("a", "b")) for name in ("cpu", "gpu")
    }
    recorder = version.find("placement.recorder", "Recorder")(STATE, board, 1, version.find("bell", "Bell")())
    records = [entry(jobs.LIVE + job_id, record, 1) for job_id, record in live.items()]
    recorder._use(records, [], [entry(key, value, 1)], {})
    number = int(key.rpartition("-")[2])
    return recorder.notes[number].value()


def _chain(version: Version, key: str, rest: str, value: Any) -> Any:
    store = version.find("chains.store", "Store")(STATE, 1)
    chains = store.use([version.find("state", "Entry")(key, value, 1)])
    return store.value(int(rest), chains)


def _rewrite_drains(version: Version, key: str, value: Any) -> Any:
    module = version.module("drain.store")
    store = module.Store(STATE, 1)
    found = store.use([version.find("state", "Entry")(key, value, 1)])
    if key.startswith(module.ASK):
        return module.encode_drain(found.drains[0])
    if key.startswith(module.STEPS):
        return store.steps(found.cordons)[key]
    if key.startswith(module.ACCOUNT):
        return store.account(found.reached, found.windows, set())[f"{module.ACCOUNT}00"]
    if key == module.MOVES:
        plan = version.find("packing.moves", "Plan")
        return found.moves | {"plans": [plan.decode(each).encode() for each in found.moves["plans"]]}
    return {"gaps": found.gaps, "own": found.own}


def _served(version: Version, key: str, rest: str, value: Any) -> Any:
    account = version.find("served.account", "Account")()
    return account.encode(account.decode(value), ROOM)


def _promise(version: Version, key: str, rest: str, value: Any) -> Any:
    track = version.module("promises.track")
    times = track.Times()
    times.decode(value["times"])
    nights = {name: track.Night.decode(night).encode() for name, night in value["nights"].items()}
    return {"nights": nights, "times": times.encode()}


def _demand(version: Version, key: str, rest: str, value: Any) -> Any:
    given = version.find("forecast.settings", "AheadSettings")()
    history = version.find("forecast.history", "History")(given.slot_s, given.weeks, given.series_most)
    number = value["start"] // 3600
    history.take(value, 1, float(value["start"]), key, lambda block: key)
    return history.encode(history.blocks[number], ROOM)


def _lead(version: Version, key: str, rest: str, value: Any) -> Any:
    if rest == "term":
        return int(value)
    return _convert(version, "leadership.messages", {"leader": "LeaderRecord", "ask": "Ask"}.get(rest, "Reach"), value)


def _catalog(version: Version, key: str, rest: str, value: Any) -> Any:
    return msgspec.to_builtins(msgspec.convert(value, list[version.find("submissions.jobs", "MachineType")]))  # type: ignore[misc]


REWRITERS = {
    "live": _live,
    "over": _over,
    "done": _done,
    "places": _places,
    "chain": _chain,
    "served": _served,
    "promise": _promise,
    "demand": _demand,
    "lead": _lead,
    "catalog": _catalog,
}
