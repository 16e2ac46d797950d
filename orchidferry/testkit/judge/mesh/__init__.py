"""Judges the record of a run of the mesh by its operators' rules.

Only what the kit saw on its own sockets and of its own processes counts, no statement of a node. Each rule
counts how often it could have been violated (`Finding.checked`). Rules with a time bound apply to connected
machines alone: those to which nothing has happened for `contact_ms`, nor to the controllers.
"""
