"""A load balancer for services that call services.

Its decisions, its node, its service mesh and its test kit.

Packages, each importing only from those named before it:

- `balancing`: every decision, free of I/O and clocks (events in, actions out).
- `node`: the node in service, with sockets, timers and configuration round the decisions.
- `mesh`: the service mesh: controllers of the replicated state, and proxies beside the servers.
- `testkit`: stand-in servers, faults, judges, benchmarks, state exploration and models.
"""
