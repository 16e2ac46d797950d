"""The processes of a rehearsal.

These are stand-in (simulated) servers, service discovery, a relay that injects faults into the links between
nodes, and real nodes.
"""
