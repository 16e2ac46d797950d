"""nickelbridge: a load balancer's decisions for services that call services."""
