"""A load balancer's decisions for services that call services, free of I/O."""
