"""The processes of a run: stand-in servers, discovery, the fleet's links and real nodes."""
