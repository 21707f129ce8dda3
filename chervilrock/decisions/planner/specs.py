"""Properties of the wanted models and their groups."""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.records import GroupPhase

_ALLOW = "allow"
_ENDING = (GroupPhase.DRAINING, GroupPhase.DISSOLVED)


class Domain(NamedTuple):
    """Identity of a fabric domain; names may repeat between data centres."""

    data_centre: str
    name: str


def is_current(spec: ModelSpec, group: GroupView) -> bool:
    """Returns whether a group matches the current spec of its model."""
    return (
        group.version == spec["version"]
        and group.adapters == tuple(spec.get("adapters", ()))
        and len(group.hosts) == spec["hosts_per_group"]
    )


def is_ending(group: GroupView) -> bool:
    """Returns whether a group drains or is dissolved."""
    return group.phase in _ENDING


def may_use_domain(spec: ModelSpec, domain: Domain) -> bool:
    """Returns whether groups of a model may use hosts of a fabric domain."""
    data_centres = spec.get("data_centres", ())
    return not data_centres or domain.data_centre in data_centres


def may_span_domains(spec: ModelSpec) -> bool:
    """Returns whether a group of a model may span fabric domains."""
    return spec.get("cross_domain", "forbid") == _ALLOW


def get_weight(spec: ModelSpec) -> float:
    """Returns the relative worth of a group of a model."""
    return spec.get("weight", 1.0)
