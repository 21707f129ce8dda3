"""Checks a document against the JSON Schema that generates the types."""

from collections.abc import Iterable
import functools
import itertools
import math
from typing import Any, cast, NamedTuple

import jsonschema
from jsonschema.exceptions import ValidationError
from jsonschema.protocols import Validator

from chervilrock.configuration.findings import (
    Fault,
    Finding,
    FindingCode,
    quote_value,
    suggest_name,
)
from chervilrock.configuration.places import Document, find_place, Path
from chervilrock.configuration.report import Report
from chervilrock.configuration.schema import load_schema
from chervilrock.configuration.value_fault import describe_fault

MAX_ERRORS = 1000
ERROR_LIMIT_FAULT = Fault(
    FindingCode.TOO_MANY_FINDINGS,
    f"more than {MAX_ERRORS} faults, the rest is not listed",
    "mend these and check again",
)
VALUE_KEYWORDS = (
    "type",
    "enum",
    "minLength",
    "maxLength",
    "pattern",
    "minimum",
    "maximum",
    "minItems",
    "maxItems",
)


class SchemaReport(NamedTuple):
    """The result of validating a document against the schema.

    Attributes:
      findings: all faults found
      bad: paths of the unusable values
      complete: whether every fault is reported
    """

    findings: tuple[Finding, ...]
    bad: frozenset[Path]
    complete: bool


def check_schema(document: Document, file_name: str) -> SchemaReport:
    """Check all values of a document and report all faults together."""
    report = Report(file_name=file_name, document=document)
    bad = set(document.bad)
    value = cast(Any, document.value)
    seen: set[Path] = set()
    errors = list(
        itertools.islice(make_validator().iter_errors(value), MAX_ERRORS + 1)
    )
    complete = len(errors) <= MAX_ERRORS
    if not complete:
        report.add_value((), ERROR_LIMIT_FAULT)
    for error in sort_errors(errors):
        path = tuple(error.absolute_path)
        if path in document.bad:
            continue
        if error.validator == "additionalProperties":
            bad.update(add_unknown_keys(report, path, error))
        elif error.validator == "required":
            bad.add(path)
            add_missing_keys(report, path, error)
        elif path not in seen:
            seen.add(path)
            bad.add(path)
            place = find_place(document, path)
            report.add_value(path, describe_fault(error, place.text))
    return SchemaReport(tuple(report.findings), frozenset(bad), complete)


@functools.cache
def make_validator() -> Validator:
    """Return a validator that rejects 1.0 as an integer and NaN as a number."""
    checker = jsonschema.Draft202012Validator.TYPE_CHECKER.redefine_many(
        {
            "integer": lambda _, value: is_whole(value),
            "number": lambda _, value: is_whole(value) or is_finite(value),
        }
    )
    validator = jsonschema.validators.extend(  # type: ignore[no-untyped-call]
        jsonschema.Draft202012Validator, type_checker=checker
    )
    return cast(Validator, validator(load_schema()))


def is_whole(value: object) -> bool:
    """Return whether a value is an integer and no boolean."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_finite(value: object) -> bool:
    """Return whether a value is a finite floating-point number."""
    return isinstance(value, float) and math.isfinite(value)


def sort_errors(errors: Iterable[ValidationError]) -> list[ValidationError]:
    """Sort errors so that the most specific one of a value comes first."""

    def rank(error: ValidationError) -> int:
        keyword = str(error.validator)
        if keyword in VALUE_KEYWORDS:
            return VALUE_KEYWORDS.index(keyword)
        return len(VALUE_KEYWORDS)

    return sorted(errors, key=rank)


def add_unknown_keys(
    report: Report, path: Path, error: ValidationError
) -> list[Path]:
    """Add a finding for each key that is not in the schema."""
    known = list(cast(dict[str, Any], error.schema)["properties"])
    present = cast(dict[str, Any], error.instance)
    unknown = [(*path, key) for key in present if key not in known]
    for found in unknown:
        hint = suggest_name(str(found[-1]), known)
        fault = Fault(
            FindingCode.UNKNOWN_KEY,
            "unknown key",
            hint or f"known keys are {', '.join(known)}",
        )
        report.add_key(found, fault)
    return unknown


def add_missing_keys(
    report: Report, path: Path, error: ValidationError
) -> None:
    """Add a finding for each required key that is missing."""
    present = cast(dict[str, Any], error.instance)
    wanted = cast(list[str], error.validator_value)
    missing = [key for key in wanted if key not in present]
    for key in missing:
        finding = Fault(
            FindingCode.MISSING_KEY, f"key {quote_value(key)} is missing"
        )
        report.add_value(path, finding)
