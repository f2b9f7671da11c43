"""Limits, leases and rolling restarts over HTTP: rows for the table of `admin.app.Api`."""

from __future__ import annotations

from typing import Any

from .api_types import ChangeResult, LeasePage, LimitPage, LimitUpdate, LimitView, RestartPage, RestartView
from .controller import DrainsController
from .leases_api import LeasesApi
from .limits_api import LimitsApi
from .restart_order import RestartOrder
from .restarts_api import RestartsApi


class DrainsApi:
    """All calls of this subsystem."""

    def __init__(self, controller: DrainsController) -> None:
        """Handlers for one controller."""
        self.limits = LimitsApi(controller)
        self.leases = LeasesApi(controller)
        self.restarts = RestartsApi(controller)

    def routes(self) -> list[tuple[str, str, str, Any, Any, Any]]:
        """Method, path, summary, request body, response body, handler."""
        limits, leases, restarts = self.limits, self.leases, self.restarts
        return [
            ("GET", "/v1/limits", "limits on connections", None, LimitPage, limits.list_limits),
            ("GET", "/v1/limits/{store}", "one limit", None, LimitView, limits.get_limit),
            ("PUT", "/v1/limits/{store}", "change a limit", LimitUpdate, LimitView, limits.put_limit),
            ("GET", "/v1/grants", "who may have how many open", None, LeasePage, leases.list_leases),
            (
                "POST",
                "/v1/nodes/{node}/gone",
                "a node that is no more",
                None,
                ChangeResult,
                leases.remove_node,
            ),
            (
                "POST",
                "/v1/nodes/confirm",
                "all nodes there are, are known",
                None,
                ChangeResult,
                leases.confirm,
            ),
            ("GET", "/v1/rolls", "rolls that stand or stood", None, RestartPage, restarts.list_restarts),
            ("POST", "/v1/rolls", "roll nodes", RestartOrder, RestartView, restarts.create),
            ("GET", "/v1/rolls/{id}", "one roll", None, RestartView, restarts.get_restart),
            ("POST", "/v1/rolls/{id}/pause", "tell nobody more", None, RestartView, restarts.pause),
            ("POST", "/v1/rolls/{id}/resume", "go on", None, RestartView, restarts.resume),
            ("POST", "/v1/rolls/{id}/cancel", "end it as it stands", None, RestartView, restarts.cancel),
            ("POST", "/v1/rolls/{id}/back", "take back what was done", None, RestartView, restarts.roll_back),
        ]
