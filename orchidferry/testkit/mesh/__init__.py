"""The mesh on loopback.

Machines with addresses of their own, real processes of both roles, and between them stand-in servers, an
operator, clients and a prober, all in one process of the kit.
"""
