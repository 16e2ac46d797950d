"""The test kit: real nodes between simulated servers, discovery and clients on loopback, and a judge."""
