"""Planning of the replica groups to form, repair and dissolve.

`plan` plans for a complete view of a region at once. `Planner` keeps the same
view indexed, so that planning after the loss of one host is cheap in a region
of any size. `prices` returns the costs that apply on a day.
"""

from chervilrock.decisions.planner.base import GroupPlanner
from chervilrock.decisions.planner.planner import plan, Planner
from chervilrock.decisions.planner.prices import prices

__all__ = ["GroupPlanner", "Planner", "plan", "prices"]
