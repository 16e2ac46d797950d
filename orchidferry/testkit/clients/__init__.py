"""Open-loop load: the schedule of request arrivals, and the clients that send the requests."""
