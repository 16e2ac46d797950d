"""The rehearsal kit: stand-in tiers, discovery and clients on loopback, real nodes between them, judged."""
