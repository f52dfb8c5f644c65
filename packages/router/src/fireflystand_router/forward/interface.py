"""Name the fields through which the router and targets understand each other."""

import attrs

__all__ = ["TargetInterface"]


@attrs.frozen
class TargetInterface:
    """Hold field names and habits of targets; names of response fields in lower case.

    ``not_run_values`` of None takes any value as the statement that the target did
    not run the request. Without ``cancel_path`` targets are told by the end of the
    connection that a request was given up. With ``skips_other_answers`` a response
    that names another request is read over instead of breaking the exchange off.
    """

    request_id_field: bytes = b"fireflystand-request-id"
    deadline_field: bytes = b"Fireflystand-Deadline-Ms"
    not_run_field: bytes = b"fireflystand-outcome"
    not_run_values: frozenset[bytes] | None = frozenset([b"not-run"])
    not_run_statuses: frozenset[int] = frozenset([421, 503])
    answers_without_length: bool = False
    skips_other_answers: bool = False
    cancel_path: str = "/fireflystand/requests/"

    def states_not_run(self, status: int, value: bytes | None) -> bool:
        """Tell whether a response says that the request did not run."""
        if value is None or status not in self.not_run_statuses:
            return False
        return self.not_run_values is None or value in self.not_run_values
