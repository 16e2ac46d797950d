"""Commands, options, and the error line and exit status for invalid settings.

`golden_settings.json` was recorded before modules were renamed. The program runs in this process as with
`python -m orchidferry`, in a folder that holds the files. If an error line ends with a library's message,
only the part before that is recorded. Settings of a node count as accepted if the only error is that the
node can't listen on an address of another machine.
"""

from __future__ import annotations

import contextlib
import copy
import io
import json
import os
import re
import runpy
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[2]
GOLDEN: dict[str, Any] = json.loads(Path(__file__).with_name("golden_settings.json").read_text("utf-8"))
PROGRAM = "orchidferry"
LISTENS_ELSEWHERE = "orchidferry: can't listen on 203.0.113.1:9: "
FLEET_KEYS = "a=" + "s" * 32 + "\n"
GOOD_FILES = {
    "ORCHIDFERRY_HTTP3": '[servers]\nname = "server"\nconnections = 8\n',
    "ORCHIDFERRY_CONTROL": 'service = "127.0.0.1:1"\nnode = "n0"\ncluster = "c"\npools = ["p", "q"]\n'
    'settings = "s"\nstate = "state"\nfirst_wait_s = 0.5\n',
    "ORCHIDFERRY_CHAIN": 'tier = "front"\nnode = "n0"\nfirst = true\nshare = 0.2\nfloor_per_s = 2\n'
    f'extra = 1\nnodes = 3\nshed = true\nkeys = ["a={"s" * 32}"]\n',
    "ORCHIDFERRY_POOLS": '[[pool]]\nname = "a"\nkinds = ["k1"]\n[[pool]]\nname = "b"\ngroups = [1, 2]\n'
    '[move]\nto = "b"\nsteps = [0.05, 0.5, 1.0]\nrare = "last"\nstep_ms = 1000\n',
    "ORCHIDFERRY_FLEET": 'name = "n0"\nlisten = "127.0.0.1:0"\nadvertise = "127.0.0.1:7000"\nzone = "z1"\n'
    'version = "v1"\nseeds = ["127.0.0.1:7001"]\nkeys = "fleet.keys"\nstate = "fleet"\njournal = "journal"\n'
    "probe_ms = 200\nmost = 10\n",
}


def run(arguments: list[str], environment: dict[str, str]) -> tuple[int, str, str]:
    """Run the program in this process; return exit status, standard output and standard error.

    The signal handlers of the program, which it keeps until its process ends, are removed.
    """
    out = io.StringIO()
    errors = io.StringIO()
    former = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM)}
    with pytest.MonkeyPatch.context() as patch:
        for name in list(os.environ):
            if name.startswith(("ORCHIDFERRY_", "NODE_")):
                patch.delenv(name)
        for name, value in {**environment, "COLUMNS": "100"}.items():
            patch.setenv(name, value)
        patch.setattr(sys, "argv", [PROGRAM, *arguments])
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            try:
                runpy.run_module(PROGRAM, run_name="__main__")
                status = 0
            except SystemExit as end:
                status = int(end.code or 0)
    for number, handler in former.items():
        signal.signal(number, handler)
    return status, out.getvalue(), errors.getvalue()


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return the working directory, which holds valid settings of a node and the keys of the fleet."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "node.json").write_text(json.dumps(GOLDEN["good_node"]))
    (tmp_path / "fleet.keys").write_text(FLEET_KEYS)
    (tmp_path / "fleet.keys").chmod(0o600)
    return tmp_path


def is_line(found: str, recorded: str) -> bool:
    """Return whether a line is the recorded one, or begins with it if a library's message follows."""
    if recorded.endswith("\n") or not recorded:
        return found == recorded
    return found.startswith(recorded) and found.count("\n") == 1 and found.endswith("\n")


def changed_node(case: dict[str, Any]) -> str:
    """Return the settings of a node with the change of a test case."""
    if "text" in case:
        return str(case["text"])
    settings = copy.deepcopy(GOLDEN["good_node"])
    table = settings
    for step in case["path"][:-1]:
        table = table[step]
    if "value" in case:
        table[case["path"][-1]] = case["value"]
    else:
        del table[case["path"][-1]]
    return json.dumps(settings)


@pytest.mark.parametrize("case", GOLDEN["node"], ids=[f"{n}" for n in range(len(GOLDEN["node"]))])
def test_invalid_settings_of_a_node(folder: Path, case: dict[str, Any]) -> None:
    (folder / "node.json").write_text(changed_node(case))
    status, out, line = run([], {"NODE_CONFIG": "node.json"})
    assert is_line(line, case["line"]), line
    assert (status, out) == (2, "")


@pytest.mark.parametrize("case", GOLDEN["operator"], ids=[f"{n}" for n in range(len(GOLDEN["operator"]))])
def test_invalid_operator_files(folder: Path, case: dict[str, Any]) -> None:
    (folder / case["file"]).write_text(case["text"])
    status, out, line = run([], {"NODE_CONFIG": "node.json", case["variable"]: case["file"]})
    assert is_line(line, case["line"]), line
    assert (status, out) == (2, "")


def test_valid_settings_of_a_node(folder: Path) -> None:
    status, out, line = run([], {"NODE_CONFIG": "node.json"})
    assert (status, out) == (2, "") and line.startswith(LISTENS_ELSEWHERE)


def test_all_valid_operator_files_together(folder: Path) -> None:
    """Runs in a separate process, because the library of the control channel starts threads."""
    environment = {**os.environ, "NODE_CONFIG": "node.json", "PYTHONPATH": str(ROOT)}
    for variable, text in GOOD_FILES.items():
        (folder / f"{variable}.toml").write_text(text)
        environment[variable] = f"{variable}.toml"
    ended = subprocess.run(
        [sys.executable, "-m", PROGRAM], env=environment, capture_output=True, text=True, timeout=30
    )
    assert ended.returncode == 2 and ended.stderr.splitlines()[-1].startswith(LISTENS_ELSEWHERE)
    assert ended.stdout == ""


def boot_text(case: dict[str, Any]) -> str:
    """Return the settings of a role with the changes of a test case."""
    if "text" in case:
        return str(case["text"])
    text = (
        str(GOLDEN["boot_text"]).replace("OWN", case.get("own", "")).replace("TERMS", case.get("terms", ""))
    )
    for old, new in case.get("replace", ()):
        assert old in text
        text = text.replace(old, new)
    return text + str(case.get("more", ""))


@pytest.mark.parametrize("case", GOLDEN["boot"], ids=[f"{n}" for n in range(len(GOLDEN["boot"]))])
def test_settings_of_a_role(folder: Path, case: dict[str, Any]) -> None:
    """Valid and invalid settings, as `--check` reports them."""
    (folder / "boot.toml").write_text(boot_text(case))
    status, out, line = run([case["role"], "--check"], {"ORCHIDFERRY_BOOT": "boot.toml"})
    assert is_line(line, case["line"]), line
    assert (status, out) == (case["status"], case["output"])


@pytest.mark.parametrize(
    ("arguments", "environment", "line"),
    [
        ([], {}, "orchidferry: NODE_CONFIG must name the configuration file\n"),
        ([], {"NODE_CONFIG": "no.json"}, "orchidferry: can't read the configuration: "),
        (["proxy", "--check"], {}, "orchidferry: ORCHIDFERRY_BOOT must name the settings file\n"),
        (
            ["controller", "--check"],
            {"ORCHIDFERRY_BOOT": "no.toml"},
            "orchidferry: no.toml: No such file or directory\n",
        ),
        (["proxy", "--odd"], {}, "orchidferry: usage: proxy|controller [--check|--help]\n"),
        (["odd"], {}, "orchidferry: argument COMMAND: invalid choice: 'odd' (choose from "),
    ],
)
def test_a_missing_argument_or_file_is_reported(
    folder: Path, arguments: list[str], environment: dict[str, str], line: str
) -> None:
    status, out, found = run(arguments, environment)
    assert is_line(found, line), found
    assert (status, out) == (2, "")


def test_a_missing_operator_file_is_reported(folder: Path) -> None:
    for variable in GOOD_FILES:
        status, out, line = run([], {"NODE_CONFIG": "node.json", variable: "no.toml"})
        assert (status, out) == (2, "") and line.startswith("orchidferry: ") and line.count("\n") == 1
        assert "no.toml" in line and "No such file or directory" in line


def test_a_key_file_that_others_may_read_is_refused(folder: Path) -> None:
    (folder / "fleet.keys").chmod(0o644)
    (folder / "fleet.toml").write_text(GOOD_FILES["ORCHIDFERRY_FLEET"])
    environment = {"NODE_CONFIG": "node.json", "ORCHIDFERRY_FLEET": "fleet.toml"}
    line = "orchidferry: fleet.keys: others than its owner may read it: chmod 600\n"
    assert run([], environment) == (2, "", line)


# Help


@pytest.mark.parametrize("command", GOLDEN["help"], ids=[name or "none" for name in GOLDEN["help"]])
def test_help_names_commands_and_options(command: str) -> None:
    status, out, errors = run([*command.split(), "--help"], {})
    options = out.partition("\noptions:")[2].partition("\nexample")[0]
    commands = out.partition("positional arguments:")[2].partition("\noptions:")[0]
    assert (status, errors) == (0, "")
    assert {
        "commands": re.findall(r"^    ([a-z][a-z0-9-]*)\b", commands, re.MULTILINE),
        "options": sorted(set(re.findall(r"(?<![\w-])--[a-z][a-z0-9-]*", options))),
    } == GOLDEN["help"][command]


@pytest.mark.parametrize(
    ("arguments", "begins"),
    [
        (["proxy"], "usage: orchidferry proxy [--check]\n"),
        (["controller"], "usage: orchidferry controller [--check]\n       orchidferry controller snapshot "),
        (["controller", "snapshot"], "usage: orchidferry controller snapshot "),
        (["controller", "snapshot", "take"], "usage: orchidferry controller snapshot take "),
        (["controller", "snapshot", "put"], "usage: orchidferry controller snapshot put "),
    ],
)
def test_help_of_the_roles(arguments: list[str], begins: str) -> None:
    status, out, errors = run([*arguments, "--help"], {})
    assert (status, errors) == (0, "") and out.startswith(begins)


def test_the_kit_runs_as_a_module() -> None:
    """Scripts and rehearsals run `python -m orchidferry.testkit.cli`."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    ended = subprocess.run(
        [sys.executable, "-m", "orchidferry.testkit.cli", "--help"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )
    commands = re.findall(r"^    ([a-z]+) ", ended.stdout, re.MULTILINE)
    assert ended.returncode == 0 and commands == GOLDEN["help"][""]["commands"]
