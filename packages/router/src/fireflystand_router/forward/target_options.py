"""Define the HTTP conventions between the router and targets."""

import attrs

__all__ = ["TargetOptions"]


@attrs.frozen
class TargetOptions:
    """Hold field names and options of targets; response field names in lower case.

    If ``not_run_values`` is None, any value of the field states that the target did
    not run the request. If ``cancel_path`` is empty, a request is cancelled by
    closing its connection only. With ``skips_mismatched_responses``, a response with
    the id of another request is skipped; otherwise the exchange fails.
    """

    request_id_field: bytes = b"fireflystand-request-id"
    deadline_field: bytes = b"Fireflystand-Deadline-Ms"
    not_run_field: bytes = b"fireflystand-outcome"
    not_run_values: frozenset[bytes] | None = frozenset([b"not-run"])
    not_run_statuses: frozenset[int] = frozenset([421, 503])
    allows_unframed_responses: bool = False
    skips_mismatched_responses: bool = False
    cancel_path: str = "/fireflystand/requests/"

    def states_not_run(self, status: int, value: bytes | None) -> bool:
        """Tell whether a response states that the request did not run."""
        if value is None or status not in self.not_run_statuses:
            return False
        return self.not_run_values is None or value in self.not_run_values
