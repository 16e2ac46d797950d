"""Case 5 as a test; it needs `target/deps` of the deploy file's build, and a minute at most."""

import subprocess
from pathlib import Path


def test_long_keys_stop_nothing() -> None:
    """An order is acknowledged, and keyed requests are served, beside keys of 600 bytes."""
    script = Path(__file__).resolve().parent / "run.sh"
    assert subprocess.run([script], check=False, timeout=180).returncode == 0
