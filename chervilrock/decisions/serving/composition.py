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
    fills = [
        _fill(hosts - standby, models, served)
        for standby in range(len(models), -1, -1)
    ]
    return max(fills, key=lambda counts: _rate(hosts, models, counts))


def _rate(
    hosts: int, models: Sequence[ModelShape], counts: Mapping[str, int]
) -> tuple[int, int]:
    """Return what orders fills; of equal ones the first is taken.

    The more models the better; then the fewer hosts beyond one standby host
    for each model.
    """
    kinds = sum(1 for count in counts.values() if count)
    used = sum(model.size * counts[model.name] for model in models)
    idle = max(0, hosts - used - len(models))
    return (kinds, -idle)


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
