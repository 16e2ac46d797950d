"""HTTP/3 from outside: real UDP sockets on loopback, the library's stock HTTP/3 peers, scripted faults."""
