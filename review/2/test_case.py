"""Case 2 as a test; it needs `target/deps` of the deploy file's build, and some minutes at most."""

import subprocess
from pathlib import Path


def test_keys_run_once_inside_their_window() -> None:
    """Keys run once inside their window while single controllers are lost in turn."""
    script = Path(__file__).resolve().parent / "run.sh"
    assert subprocess.run([script], check=False, timeout=180).returncode == 0
