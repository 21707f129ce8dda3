"""Terms of leaders, which order them and the epochs of their groups.

A term is the place of a claim in the store. A store that comes back from a copy
gives offsets out again, so its era stands before the offset: a claim of a later
era is newer than all that were ever made.
"""

OFFSETS_PER_ERA = 10_000_000
"""Records of nodes and leaders in one era; an installation of 400 nodes writes
some thousand in a day."""


def make_term(era: int, offset: int) -> int:
    """Return the term of a claim.

    Args:
      era: how often the store has come back from a copy.
      offset: offset of the claim.
    """
    return era * OFFSETS_PER_ERA + offset
