"""HTTP/3 for the test kit: servers, clients, certificates, and scripted packet loss between them.

It uses the stock HTTP/3 layer of the library (aioquic) rather than the node's own, so that tests check the
node's additions from outside.
"""
