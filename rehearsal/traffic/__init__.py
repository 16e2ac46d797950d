"""Recorded traffic: logs and HAR files read, mapped to classes, recorded and replayed."""
