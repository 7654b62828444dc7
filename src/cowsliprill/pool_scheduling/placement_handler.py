"""Serves `GET /v1/placement`, by which operators preview a placement."""

import dataclasses
import json
from collections.abc import Callable

import pydantic
from tornado import web

from cowsliprill.decisions import placement_preview
from cowsliprill.pool_scheduling import errors
from cowsliprill.pool_scheduling import placement_query

_BAD_REQUEST = 400
_STATUS_BY_CODE = {"unknown_pool": 404, "not_coordinator": 421}


class PlacementHandler(web.RequestHandler):
    """Tells what would become of a request, without sending it."""

    def initialize(
        self,
        preview: Callable[
            [placement_query.PlacementQuery], placement_preview.Preview
        ],
    ) -> None:
        """Stores the handler's dependencies.

        Args:
          preview: Returns the preview, or raises `PlacementError`.
        """
        self._preview = preview

    def get(self) -> None:
        """Handles one query."""
        arguments = {
            name: self.get_query_argument(name)
            for name in self.request.query_arguments
        }
        try:
            query = placement_query.PlacementQuery.model_validate(arguments)
            preview = self._preview(query)
        except pydantic.ValidationError as error:
            self._respond_with_error(
                _BAD_REQUEST, "value_invalid", _describe(error)
            )
        except errors.PlacementError as error:
            self._respond_with_error(
                _STATUS_BY_CODE[error.code], error.code, error.message
            )
        else:
            self.set_header("Content-Type", "application/json")
            self.write(json.dumps(dataclasses.asdict(preview)))

    def _respond_with_error(self, status: int, code: str, message: str) -> None:
        self.set_status(status)
        self.write({"error": {"code": code, "message": message}})


def _describe(error: pydantic.ValidationError) -> str:
    return "; ".join(
        f"{'.'.join(map(str, item['loc']))}: {item['msg']}"
        for item in error.errors()
    )
