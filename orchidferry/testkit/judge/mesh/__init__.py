"""Judges the record of a run of the service mesh by the rules promised to its operators.

The record has only what the test kit observed on its own sockets and of the processes that it started,
nothing that a node reported. Each rule counts how often it could have been violated (`Finding.checked`).
Rules with a time bound apply only to connected machines: neither the machine nor the controllers had a fault
within the last `contact_ms`.
"""
