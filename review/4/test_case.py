"""Case 4 as a test; it needs `target/deps` of the deploy file's build, and a minute at most."""

import subprocess
from pathlib import Path


def test_late_releases_keep_the_record_of_another_try() -> None:
    """An operation runs once, though a release came late and all controllers were killed."""
    script = Path(__file__).resolve().parent / "run.sh"
    assert subprocess.run([script], check=False, timeout=180).returncode == 0
