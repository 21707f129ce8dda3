"""Costs of group downtime and stranded accelerators on a day of the year."""

from chervilrock.decisions.actions import Prices
from chervilrock.generated.configuration import ObjectiveSpec, PeriodSpec

_DEFAULT = Prices()


def prices(objective: ObjectiveSpec | None, day: str) -> Prices:
    """Returns the costs that apply on a day.

    The first period of the calendar that contains the day applies. Outside of
    all periods the costs of the objective itself apply.

    Args:
      objective: the objective of the configuration, None for the defaults.
      day: day of the year as MM-DD, so that leap years make no difference.
    """
    if objective is None:
        return _DEFAULT
    for period in objective.get("calendar") or ():
        if _contains(period, day):
            return Prices(period["downtime"], period["stranded"])
    return Prices(
        objective.get("downtime", _DEFAULT.downtime),
        objective.get("stranded", _DEFAULT.stranded),
    )


def _contains(period: PeriodSpec, day: str) -> bool:
    """Returns whether a day is in a period, which may span the new year."""
    start, end = period["start"], period["end"]
    if start <= end:
        return start <= day <= end
    return day >= start or day <= end
