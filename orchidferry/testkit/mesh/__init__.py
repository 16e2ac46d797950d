"""Runs a complete mesh on the loopback interface and records what its clients and servers observe.

Each simulated machine has a loopback address of its own. Controllers and proxies run as real processes. The
stand-in application servers, the operators, the clients and the readiness probes run in the kit's process.
"""
