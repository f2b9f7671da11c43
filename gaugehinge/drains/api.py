"""Administration API routes for connection limits, leases and rolling restarts."""

from __future__ import annotations

from ..admin.route import Route
from .api_types import ChangeResult, LeasePage, LimitPage, LimitUpdate, LimitView, RestartPage, RestartView
from .controller import DrainsController
from .leases_api import LeasesApi
from .limits_api import LimitsApi
from .restart_order import RestartOrder
from .restarts_api import RestartsApi


class DrainsApi:
    """All API operations of drains."""

    def __init__(self, controller: DrainsController) -> None:
        """Create the handlers for one controller."""
        self.limits = LimitsApi(controller)
        self.leases = LeasesApi(controller)
        self.restarts = RestartsApi(controller)

    def routes(self) -> list[Route]:
        """Return the routes for limits, leases and rolling restarts."""
        limits, leases, restarts = self.limits, self.leases, self.restarts
        return [
            Route("GET", "/v1/limits", "limits on connections", None, LimitPage, limits.list_limits),
            Route("GET", "/v1/limits/{store}", "one limit", None, LimitView, limits.get_limit),
            Route("PUT", "/v1/limits/{store}", "change a limit", LimitUpdate, LimitView, limits.put_limit),
            Route("GET", "/v1/grants", "who may have how many open", None, LeasePage, leases.list_leases),
            Route(
                "POST",
                "/v1/nodes/{node}/gone",
                "a node that is no more",
                None,
                ChangeResult,
                leases.remove_node,
            ),
            Route(
                "POST",
                "/v1/nodes/confirm",
                "all nodes there are, are known",
                None,
                ChangeResult,
                leases.confirm,
            ),
            Route("GET", "/v1/rolls", "rolls that stand or stood", None, RestartPage, restarts.list_restarts),
            Route("POST", "/v1/rolls", "roll nodes", RestartOrder, RestartView, restarts.create),
            Route("GET", "/v1/rolls/{id}", "one roll", None, RestartView, restarts.get_restart),
            Route("POST", "/v1/rolls/{id}/pause", "tell nobody more", None, RestartView, restarts.pause),
            Route("POST", "/v1/rolls/{id}/resume", "go on", None, RestartView, restarts.resume),
            Route("POST", "/v1/rolls/{id}/cancel", "end it as it stands", None, RestartView, restarts.cancel),
            Route(
                "POST",
                "/v1/rolls/{id}/back",
                "take back what was done",
                None,
                RestartView,
                restarts.roll_back,
            ),
        ]
