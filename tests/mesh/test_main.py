"""The command line of the mesh's roles.

Each subcommand has a help text, and invalid settings are reported in one line with file and field.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from orchidferry.mesh import program

OWN_NODE = 'node_name = "n", ip = "10.0.0.1", zone = "z"'
SETTINGS = """own_node = {{ {own_node} }}
network = {{ internal_ports = {ports}, seed_nodes = ["10.0.0.1:2"], listen_points = {{ {points} }} }}
term_settings = {{ {terms} }}
"""
CONTROL = 'control = "10.0.0.1:9"'
PROXY_POINTS = f'{CONTROL}, outbound = "10.0.0.1:3", inbound = "10.0.0.1:4", ready = "10.0.0.1:5"'
APPLICATION = ', application = "10.0.0.1:8"'
DATA_DIR = ', data_dir = "/nowhere"'


@pytest.mark.parametrize(
    ("words", "fields", "named"),
    [
        (["controller"], {}, "own_node.data_dir: a controller needs one"),
        (["controller"], {"own": DATA_DIR, "points": ""}, "network.listen_points.control"),
        (["controller"], {"own": ", data_dir = 5"}, "own_node.data_dir: a text is needed"),
        (["controller"], {"own": DATA_DIR, "ports": "[70000]"}, "network.internal_ports"),
        (["controller"], {"own": DATA_DIR, "ports": "[true]"}, "network.internal_ports"),
        (
            ["controller"],
            {"own": DATA_DIR, "terms": "tolerance = { machines = inf }"},
            "term_settings.tolerance.machines",
        ),
        (
            ["controller"],
            {"own": DATA_DIR + ", limit_set = { file_descriptors = inf }"},
            "own_node.limit_set.file_descriptors",
        ),
        (["controller"], {"terms": "]"}, "line 3"),
        (["proxy"], {"points": PROXY_POINTS}, "own_node.application: a node needs one"),
        (["proxy"], {"own": APPLICATION}, "network.listen_points.outbound"),
        (["controller", "snapshot", "take", "file"], {}, "own_node.data_dir: a controller needs one"),
    ],
)
def test_invalid_settings_are_reported_in_one_line_with_file_and_field(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    words: list[str],
    fields: dict[str, str],
    named: str,
) -> None:
    file = tmp_path / "local.toml"
    text = SETTINGS.format(
        own_node=OWN_NODE + fields.get("own", ""),
        ports=fields.get("ports", "[1, 2]"),
        points=fields.get("points", CONTROL),
        terms=fields.get("terms", ""),
    )
    file.write_text(text)
    monkeypatch.setenv("ORCHIDFERRY_BOOT", str(file))
    assert program.main([*words, "--check"] if len(words) == 1 else words) == 2
    out, err = capsys.readouterr()
    assert err.startswith(f"orchidferry: {file}: ") and named in err
    assert err.count("\n") == 1 and not out


@pytest.mark.parametrize("words", [[], ["proxy"], ["controller"], ["controller", "snapshot"]])
def test_each_subcommand_has_a_help_text(words: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert program.main([*words, "--help"]) == 0
    out, _ = capsys.readouterr()
    assert out.startswith(" ".join(["usage: orchidferry", *words]))


def test_the_roles_are_subcommands_of_the_one_program(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from orchidferry.testkit import cli

    monkeypatch.delenv("ORCHIDFERRY_BOOT", raising=False)
    for words, status, text in (
        (["proxy", "--help"], 0, "example:"),
        (["controller", "--check"], 2, "ORCHIDFERRY_BOOT must name"),
        (["controller", "--no"], 2, "usage:"),
    ):
        monkeypatch.setattr("sys.argv", ["orchidferry", *words])
        assert cli.main() == status
        out, err = capsys.readouterr()
        assert text in out + err and err.count("\n") == (status == 2)
