"""Open-loop load: the schedule of the arrivals, and the clients that send them."""
