"""How many groups of each model a fabric domain should hold.

Groups stay within a domain, since across domains they run several times
slower. Of each model a domain keeps one standby host that has the weights in
memory where there is room, so that a lost host is replaced in a fraction of a
second instead of the ten seconds and more of a load.
"""

from collections.abc import Mapping, Sequence

from chervilrock.decisions.serving.site import ModelShape


def compose(
    hosts: int, models: Sequence[ModelShape], served: Mapping[str, int]
) -> dict[str, int]:
    """Return the number of groups of each model for a domain.

    Args:
      hosts: hosts of the domain.
      models: models that are served.
      served: groups of each model in the other domains.
    """
    best: dict[str, int] = {}
    best_kinds = -1
    for standby in range(len(models), -1, -1):
        counts = _fill(hosts - standby, models, served)
        kinds = sum(1 for count in counts.values() if count)
        if kinds > best_kinds:
            best, best_kinds = counts, kinds
    return best


def _fill(
    hosts: int, models: Sequence[ModelShape], served: Mapping[str, int]
) -> dict[str, int]:
    """Give hosts to the model that lacks groups most, while any fits."""
    counts = {model.name: 0 for model in models}
    left = hosts
    while True:
        fitting = [model for model in models if model.size <= left]
        if not fitting:
            return counts
        chosen = min(fitting, key=lambda one: _weigh(one, counts, served))
        counts[chosen.name] += 1
        left -= chosen.size


def _weigh(
    model: ModelShape, counts: Mapping[str, int], served: Mapping[str, int]
) -> tuple[int, float, int]:
    """Return what orders models: those with the fewest groups come first.

    A model that the domain lacks comes first, so that a lost domain takes no
    model with it; then that with the least groups for its share.
    """
    total = counts[model.name] + served.get(model.name, 0)
    share = max(model.share, 0.01)
    return (counts[model.name], total / share, -model.size)
