"""The node as a process: its imports with HTTP/3 disabled, its start and shutdown with HTTP/3 enabled."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.node.peers import LIMIT_S, settings

ROOT = Path(__file__).parents[3]


def config(folder: Path) -> Path:
    path = folder / "node.json"
    snapshot: dict[str, Any] = {"index": 1, "snapshot": True, "endpoints": []}
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "1",
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
                "known": snapshot,
                "settings": settings(),
            }
        )
    )
    return path


def start(folder: Path, **env: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "orchidferry"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"NODE_CONFIG": str(config(folder))} | env,
    )


def test_with_http3_disabled_nothing_of_it_is_imported() -> None:
    """Nor are the library and its dependencies: on small machines the node has to fit in 32 MB."""
    code = (
        "import sys, orchidferry.__main__, orchidferry.node.node; "
        "bad = [m for m in sys.modules if m.split('.')[0] in "
        "('aioquic', 'cryptography', 'pylsqpack', 'OpenSSL', 'curl_cffi') "
        "or m.startswith(('orchidferry.node.h3', 'orchidferry.testkit'))]; print(bad); sys.exit(bool(bad))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr


@pytest.mark.parametrize(
    ("text", "message"), [("front = 3", "front must be a table"), (None, "No such file")]
)
def test_an_invalid_file_ends_the_process_with_status_2_and_one_line(
    tmp_path: Path, text: str | None, message: str
) -> None:
    file = tmp_path / "http3.toml"
    if text is not None:
        file.write_text(text)
    process = start(tmp_path, ORCHIDFERRY_HTTP3=str(file))
    _, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 2 and err.count("\n") == 1 and "http3.toml" in err and message in err


def test_the_node_starts_listens_and_shuts_down_with_http3_enabled(tmp_path: Path) -> None:
    from orchidferry.testkit.quic import certs

    files = certs.make(tmp_path / "keys")
    file = tmp_path / "http3.toml"
    file.write_text(
        f'[front]\nlisten = "127.0.0.1:0"\ncertificate = "{files.certificate}"\nkey = "{files.key}"\n'
        "[servers]\n"
    )
    process = start(tmp_path, ORCHIDFERRY_HTTP3=str(file))
    assert process.stderr is not None
    lines: list[str] = []
    while "HTTP/3 on 127.0.0.1:" not in (line := process.stderr.readline()):
        assert line, "".join(lines)
        lines.append(line)
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=LIMIT_S)
    assert process.returncode == 0
