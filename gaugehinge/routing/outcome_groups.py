"""Groups of outcomes that the modules of the routing package treat alike. No state."""

from __future__ import annotations

from .types import Outcome

CONNECTION_FAILURES = (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST)
SERVER_FAILURES = (Outcome.SERVER_ERROR, Outcome.MALFORMED_RESPONSE, Outcome.TIMED_OUT, Outcome.UNKNOWN)
REDIRECTS = (Outcome.MOVED, Outcome.ASK_REDIRECT)
RESPONSES = (Outcome.SUCCEEDED, Outcome.CACHE_MISS, Outcome.MALFORMED_RESPONSE)
CONNECTION_ENDING = (  # the outcome ends the connection of the attempt
    *CONNECTION_FAILURES,
    Outcome.MALFORMED_RESPONSE,
    Outcome.TIMED_OUT,
    Outcome.CANCELLED,
)
NO_QUEUE_EVIDENCE = (*RESPONSES, Outcome.CONNECTION_LOST)  # no sign of a queue at the server
NO_LOAD_EVIDENCE = (Outcome.CACHE_MISS, Outcome.CANCELLED, *REDIRECTS)  # no sign of the load of the fleet
