"""The kit's HTTP/3: servers, requesters, certificates, and a path between them that loses packets on purpose.

On the library's stock HTTP/3 (aioquic), not on the node's own: what the node adds to it is tested from
outside.
"""
