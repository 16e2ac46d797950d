"""Judges the record of a run: which rules were violated, and which share of the requested value was served.

The modules of this package judge a run of load-balancing nodes in front of stand-in servers; `judge.mesh`
judges a run of the service mesh. All of them are pure functions from recorded facts to findings.
"""
