"""State which decisions of the admission queue adapt to what the targets can take.

They handle services without client accounts, where nothing but the targets' capacity
bounds the load: targets of unequal speed, keys with more load than their target can
take, and targets that slow down or shed before all their slots are used.
"""

import attrs

__all__ = ["ADAPTIVE_ADMISSION", "AdmissionPolicy"]


@attrs.frozen
class AdmissionPolicy:
    """Switch adaptive decisions on, each by itself; by default all are off.

    ``estimates_by_target`` uses the speed of the targets that can run a request, and
    has a target measured again whose estimate refuses all its requests.
    ``plans_returns`` spreads the times at which refused callers come back.
    ``bounds_passing_over`` gives each priority whose requests wait a turn.
    ``tolerates_shedding`` pauses only targets that shed several requests in a row.
    ``learns_concurrency`` gives targets no more requests at once than they run well.
    """

    estimates_by_target: bool = False
    plans_returns: bool = False
    bounds_passing_over: bool = False
    tolerates_shedding: bool = False
    learns_concurrency: bool = False


ADAPTIVE_ADMISSION = AdmissionPolicy(
    estimates_by_target=True,
    plans_returns=True,
    bounds_passing_over=True,
    tolerates_shedding=True,
    learns_concurrency=True,
)
