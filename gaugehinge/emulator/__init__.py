"""The systems round the router, played on one machine: cache servers, origin, discovery, a front.

What they do is decided in modules without I/O that run under a virtual clock as well (`machine`, `store`,
`cache`, `origin`, `directory`, `faults`); `doors`, `front` and `part` put them on loopback sockets,
and `fleet`
starts and steers the processes.
"""
