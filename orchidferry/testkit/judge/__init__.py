"""Judges the record of a run: which rules it broke, and how much of the value at stake was served.

The modules of this package judge a run of nodes between stand-in servers; `judge.mesh` judges a run of the
mesh. All of them are pure: facts in, findings out.
"""
