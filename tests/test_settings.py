"""Settings are validated; an error is printed as one line that names the wrong field."""

from datetime import timedelta
from pathlib import Path

import orjson
import pytest

from roseweir.cli import main
from roseweir.operator_config import load_operator_config
from roseweir.settings import load_settings
from roseweir.sexp import SettingsError

EXAMPLE = Path(__file__).parent.parent / "examples" / "settings.json"


def write_changed_settings(tmp_path: Path, *path: str, value: object) -> Path:
    settings = orjson.loads(EXAMPLE.read_bytes())
    parent = settings
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    file = tmp_path / "settings.json"
    file.write_bytes(orjson.dumps(settings))
    return file


def test_example_is_accepted_and_unknown_fields_are_ignored(tmp_path: Path) -> None:
    settings = load_settings(write_changed_settings(tmp_path, "something_new", value={"a": 1}))
    assert settings.params.workers.lease_duration == timedelta(seconds=12)


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (("public_addr",), "nowhere", "public_addr"),
        (("public_addr",), "127.0.0.1:70000", "public_addr"),
        (("params", "workers", "lease_s"), "long", "lease_s"),
        (("params", "workers", "report_s"), 0, "report_s"),
        (("params", "state", "txn_ops"), 1.5, "txn_ops"),
        (("params", "state", "txn_ops"), 3, "txn_ops"),
        (("params", "state", "value_kb"), 1.0, "value_kb"),
        (("params", "teams"), {}, "teams"),
        (("endpoints", "state"), None, "state"),
    ],
)
def test_invalid_setting_is_named_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], path: tuple[str, ...], value: object, field: str
) -> None:
    assert main(["check-config", "--config", str(write_changed_settings(tmp_path, *path, value=value))]) == 2
    error_output = capsys.readouterr().err
    assert field in error_output and error_output.count("\n") == 1


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("params", "zones"), ["only"]),
        (("params", "zones"), ["a", "b", "c", "d", "e", "f", "g", "h", "i"]),
        (("params", "state"), {"rps": 20.0, "write_rps": 3.0, "value_kb": 2.0, "txn_ops": 4}),
        (("params", "teams"), [{"name": "one"}]),
        (("params", "objectives"), []),
    ],
)
def test_unusual_zones_store_limits_and_teams_are_accepted(
    tmp_path: Path, path: tuple[str, ...], value: object
) -> None:
    assert main(["check-config", "--config", str(write_changed_settings(tmp_path, *path, value=value))]) == 0


def test_missing_file_bad_json_and_bad_log_level_exit_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert main(["check-config", "--config", str(tmp_path / "none.json")]) == 2
    (tmp_path / "bad.json").write_text("{")
    assert main(["check-config", "--config", str(tmp_path / "bad.json")]) == 2
    monkeypatch.setenv("LOG_LEVEL", "loud")
    assert main(["serve", "--config", str(EXAMPLE)]) == 2
    assert capsys.readouterr().err.count("\n") == 3


def test_operator_config_is_read(tmp_path: Path) -> None:
    file = tmp_path / "limits.sexp"
    file.write_text(
        """; evening
        (startup-limits (fetch-share 0.5) (failure-count 3) (ban-window 7)
          (limit (name "n") (job-class "x") (zone "a") (count 5) (window 60) (burst 2)))"""
    )
    config = load_operator_config(file)
    assert (config.fetch_share, config.failure_count, config.ban_window) == (0.5, 3, timedelta(seconds=7))
    assert config.class_limits[0].zone == "a" and config.class_limits[0].window == timedelta(minutes=1)
    assert load_operator_config(None).class_limits == []


@pytest.mark.parametrize(
    "text",
    [
        "(startup-limits (fetch-shre 1))",
        "(limits)",
        "(startup-limits (fetch-share",
        "(startup-limits (fetch-share -1))",
        "(startup-limits (fetch-share 0))",
        '(startup-limits (lease "long"))',
        "(startup-limits (failure-count 1.5))",
        "(startup-limits (limit (count 1) (window 2)))",
        '(startup-limits (limit (name "n") (count 1) (window 2) (colour "red")))',
        "startup-limits",
    ],
)
def test_invalid_operator_config_is_refused(tmp_path: Path, text: str) -> None:
    file = tmp_path / "limits.sexp"
    file.write_text(text)
    with pytest.raises(SettingsError):
        load_operator_config(file)
