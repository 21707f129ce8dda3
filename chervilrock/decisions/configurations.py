"""The fold of the stream `config`.

The revision of a configuration is the offset of its record. A record whose
base revision is not the one in force is rejected, and its writer gets the
configuration that was accepted before it. A configuration that a peer
forwards is a record that was already accepted, so its offset alone decides
whether it applies.
"""

from typing import NamedTuple

import msgspec

from chervilrock.decisions.decoding import convert, Decoder, UnreadableError
from chervilrock.decisions.records import (
    decode_body,
    SeenRecords,
)
from chervilrock.decisions.verdicts import Reason, Verdict, VerdictKind
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.records import (
    ConfigurationApplied,
    RecordId,
    RecordKind,
    StoredRecord,
)


class AcceptedConfiguration(NamedTuple):
    """A configuration that the log accepted.

    Attributes:
      revision: offset of its record
      operator: who applied it
      digest: hash of the document, in hexadecimal
      document: the configuration
      stored: the record, to be forwarded to peers
    """

    revision: int
    operator: str
    digest: str
    document: Configuration
    stored: StoredRecord


class Winner(NamedTuple):
    """The configuration that was accepted before another one.

    Attributes:
      revision: revision of the accepted configuration
      operator: who applied it
    """

    revision: int
    operator: str


class ConfigurationVerdict(NamedTuple):
    """Result of applying a record of the stream.

    Attributes:
      verdict: verdict of the fold
      winner: the configuration that was accepted first, if the base is stale
    """

    verdict: Verdict
    winner: Winner | None = None


class ConfigurationImage(NamedTuple):
    """The folded state as stored in a snapshot.

    Attributes:
      upto: offset of the last record included in the state
      accepted: record of the last accepted configuration
      seen: highest sequence number of each writer
    """

    upto: int
    accepted: StoredRecord | None
    seen: tuple[RecordId, ...]


_IMAGE_DECODER = Decoder(ConfigurationImage)


class ConfigurationFold:
    """Folded state of the stream `config`.

    The configuration from the log and the one that a peer forwarded are kept
    apart: a record of the log is always checked against the records before
    it, even if a peer has already forwarded a later one. The higher revision
    of the two is in force.

    Attributes:
      upto: offset of the last record applied
    """

    def __init__(self) -> None:
        """Create the state of an empty stream."""
        self.upto = 0
        self._folded: AcceptedConfiguration | None = None
        self._adopted: AcceptedConfiguration | None = None
        self._seen = SeenRecords()

    @property
    def in_force(self) -> AcceptedConfiguration | None:
        """The accepted configuration with the highest revision."""
        if self._adopted is None:
            return self._folded
        if self._folded is None:
            return self._adopted
        return max(
            self._folded, self._adopted, key=lambda accepted: accepted.revision
        )

    @property
    def revision(self) -> int:
        """Revision in force, 0 if there is none."""
        accepted = self.in_force
        return 0 if accepted is None else accepted.revision

    def apply(self, stored: StoredRecord) -> Verdict:
        """Apply the next record and return the verdict."""
        return self.judge(stored).verdict

    def judge(self, stored: StoredRecord) -> ConfigurationVerdict:
        """Apply the next record and return the verdict and any winner."""
        offset = stored.offset
        if offset <= self.upto:
            return _answer(VerdictKind.SKIPPED, offset)
        self.upto = offset
        body = decode_body(stored.record)
        if body is None:
            return _answer(VerdictKind.REJECTED, offset, Reason.UNREADABLE)
        if not self._seen.add(stored.record.record_id):
            return ConfigurationVerdict(
                Verdict(VerdictKind.DUPLICATE, offset, body=body)
            )
        if stored.record.kind is RecordKind.SNAPSHOT_PART:
            return ConfigurationVerdict(
                Verdict(VerdictKind.ACCEPTED, offset, body=body)
            )
        if not isinstance(body, ConfigurationApplied):
            return _answer(VerdictKind.REJECTED, offset, Reason.FOREIGN_KIND)
        return self._judge_base(stored, body)

    def adopt(self, stored: StoredRecord) -> bool:
        """Adopt an accepted record from a peer.

        Returns:
          Whether it is now in force; a revision that is not higher than the
          one in force is ignored.
        """
        accepted = read_accepted(stored)
        if accepted is None or accepted.revision <= self.revision:
            return False
        self._adopted = accepted
        return True

    def resume(self, first_offset: int) -> bool:
        """Resume from the adopted record if the log before it was trimmed.

        An accepted record holds the whole state at its offset except for the
        seen records; duplicates of those are rejected by their stale base.

        Args:
          first_offset: lowest offset that the log still stores.

        Returns:
          Whether the records from `upto` + 1 on can be read without a gap.
        """
        adopted = self._adopted
        if adopted is None or adopted.revision <= self.upto:
            return False
        if adopted.revision + 1 < first_offset:
            return False
        self._folded = adopted
        self.upto = adopted.revision
        return True

    def carry_over(self, other: "ConfigurationFold") -> None:
        """Adopt the configuration in force in another fold of the stream."""
        accepted = other.in_force
        if accepted is not None:
            self.adopt(accepted.stored)

    def export(self) -> str:
        """Return the state as JSON text."""
        image = ConfigurationImage(
            upto=self.upto,
            accepted=self._folded.stored if self._folded else None,
            seen=self._seen.export(),
        )
        return msgspec.json.encode(image).decode()

    @classmethod
    def restore(cls, text: str) -> "ConfigurationFold":
        """Return the state that `export` wrote.

        Raises:
          UnreadableError: the text is not a valid state.
        """
        image = _IMAGE_DECODER.decode(text)
        fold = cls()
        fold.upto = image.upto
        fold._seen.restore(image.seen)
        if image.accepted is None:
            return fold
        fold._folded = read_accepted(image.accepted)
        if fold._folded is None:
            raise UnreadableError("snapshot record holds no configuration")
        return fold

    def _judge_base(
        self, stored: StoredRecord, body: ConfigurationApplied
    ) -> ConfigurationVerdict:
        offset = stored.offset
        folded = self._folded
        current = folded.revision if folded else 0
        if body.base_revision != current:
            winner = (
                Winner(folded.revision, folded.operator) if folded else None
            )
            verdict = Verdict(
                VerdictKind.REJECTED, offset, Reason.STALE_BASE, body
            )
            return ConfigurationVerdict(verdict, winner)
        accepted = read_accepted(stored)
        if accepted is None:
            return _answer(VerdictKind.REJECTED, offset, Reason.UNREADABLE)
        self._folded = accepted
        return ConfigurationVerdict(
            Verdict(VerdictKind.ACCEPTED, offset, body=body)
        )


def read_accepted(stored: StoredRecord) -> AcceptedConfiguration | None:
    """Return the typed configuration of a record, None if it has none."""
    body = decode_body(stored.record)
    if not isinstance(body, ConfigurationApplied):
        return None
    try:
        document = convert(body.document, Configuration)
    except UnreadableError:
        return None
    return AcceptedConfiguration(
        revision=stored.offset,
        operator=body.operator,
        digest=body.digest,
        document=document,
        stored=stored,
    )


def _answer(
    kind: VerdictKind, offset: int, reason: Reason | None = None
) -> ConfigurationVerdict:
    return ConfigurationVerdict(Verdict(kind, offset, reason))
