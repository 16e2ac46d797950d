"""Hinted handoff compared with a simple list of all writes."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control.hinted_handoff import RECENT_S, HintPage, Hints


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("wwwsabtl"), st.integers(0, 5)), max_size=60))
def test_writes_missed_by_a_silent_controller_are_kept_for_it(events: list[tuple[str, int]]) -> None:
    """Every write since 4 s before the silence is handed over, and the hints are empty in the end.

    Events: "w" writes a key; "s" marks the controller as silent, "b" as back; "a" acknowledges a page;
    "l" acknowledges the oldest page once more, late; "t" only lets time pass.
    """
    hints = Hints()
    now = 100.0
    owed = set[str]()
    silent = False
    writes: list[tuple[float, str]] = []
    page: HintPage | None = None
    acknowledged: list[int] = []
    for event, n in events:
        now += n / 2
        if event == "w":
            key = f"k{len(writes)}"
            writes.append((now, key))
            hints.record_write(key, now)
            owed |= {key} if silent else set()
        elif event == "s":
            hints.mark_silent("x", now)
            silent = True
            page = None
            owed |= {key for written_s, key in writes if written_s >= now - RECENT_S}
        elif event == "a" and page is not None:
            hints.acknowledge("x", page.number)
            acknowledged.append(page.number)
            owed -= set(page.keys)
            page = None
        elif event == "l" and acknowledged:
            hints.acknowledge("x", acknowledged[0])
        elif event == "b":
            silent = False
            if (found := hints.next_page("x", now, 3)) is not None:
                assert len(found.keys) <= 3 and (page is None or found == page)
                page = found
    for _ in range(len(writes) + 2):
        now += 2.0
        if (found := hints.next_page("x", now, 3)) is not None:
            owed -= set(found.keys)
            hints.acknowledge("x", found.number)
    assert not owed and not hints.kept


def test_a_late_acknowledgement_does_not_count_for_a_page_of_a_later_silence() -> None:
    """Page numbers began anew with each silence, so hints were dropped that nobody had stored."""
    hints = Hints()
    hints.record_write("k1", 100.0)
    hints.mark_silent("x", 100.0)
    first = hints.next_page("x", 101.0, 10)
    assert first is not None and hints.next_page("x", 103.0, 10) == first  # sent twice
    hints.acknowledge("x", first.number)
    assert hints.next_page("x", 104.0, 10) is None and not hints.kept
    hints.mark_silent("x", 110.0)
    hints.record_write("k2", 110.0)
    second = hints.next_page("x", 111.0, 10)
    hints.acknowledge("x", first.number)  # of the second copy
    assert second is not None and hints.next_page("x", 113.0, 10) == second
    assert second.keys == ["k2"]
