"""gaugehinge: a router for fleets of cache servers."""
