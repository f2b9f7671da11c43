"""Support for the Redis Cluster protocol: a front for cluster clients and a codec for cluster-mode servers.

Both use the same routing decisions as the platform's own dialect. Written from the public specifications of
RESP2, RESP3 and the cluster protocol. Disabled unless the installation file enables it.
"""
