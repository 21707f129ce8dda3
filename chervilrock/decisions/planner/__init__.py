"""Choice of the replica groups to form, repair and dissolve.

`plan` decides on a whole view of a region at once. `Planner` keeps the same
view indexed, so that the loss of one host costs little at any size. `prices`
picks the costs that hold on a day.
"""

from chervilrock.decisions.planner.base import GroupPlanner
from chervilrock.decisions.planner.planner import plan, Planner
from chervilrock.decisions.planner.prices import prices

__all__ = ["GroupPlanner", "Planner", "plan", "prices"]
