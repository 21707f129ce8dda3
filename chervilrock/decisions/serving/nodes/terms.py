"""Terms of leaders, which order them and the epochs of their groups.

A term is made from the offset of a claim in the store. A store that was
restored from a backup assigns offsets again, so a term consists of the era of
the store followed by the offset: a claim of a later era is newer than all
claims of earlier ones.
"""

OFFSETS_PER_ERA = 10_000_000
"""Greatest number of records of nodes and leaders in one era. An installation
of 400 nodes writes some thousand of them in a day."""


def make_term(era: int, offset: int) -> int:
    """Return the term of a claim.

    Args:
      era: how often the store has been restored from a backup.
      offset: offset of the claim.
    """
    return era * OFFSETS_PER_ERA + offset
