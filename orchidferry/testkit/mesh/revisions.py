"""Revisions of the configurations that a day's planned changes send; they climb in uneven steps."""

from __future__ import annotations

FIRST_REVISION = 3
SECOND_REVISION = 7
LOSING_REVISION = 8
INVALID_REVISION = 11
LAST_REVISION = 19
