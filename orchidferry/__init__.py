"""A load balancer for calls between services, as a node and as a service mesh.

Packages, each importing only from those named before it:

- `balancing`: all decisions, without I/O or clocks: events in, actions out.
- `node`: the load-balancing node, which adds sockets, timers and configuration to the decisions.
- `mesh`: the service mesh: controllers of the replicated state, and sidecar proxies.
- `testkit`: stand-in servers, fault injection, checkers, benchmarks, state exploration and models.
"""
