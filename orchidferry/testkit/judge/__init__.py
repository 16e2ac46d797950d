"""Pure functions over a run's record: the four rules and the measure of service."""
