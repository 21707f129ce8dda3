"""Checks a configuration file: text, schema, consistency and defaults."""

from chervilrock.configuration.cross_check import check_values, Surroundings
from chervilrock.configuration.defaults import fill_partial
from chervilrock.configuration.document import load_document
from chervilrock.configuration.findings import Finding, sort_findings
from chervilrock.configuration.places import Document
from chervilrock.configuration.report import Report
from chervilrock.configuration.schema_check import check_schema, SchemaReport
from chervilrock.generated.configuration import Configuration, WeightCatalogue
from chervilrock.generated.interfaces import HostList


def check(
    text: bytes | str,
    file_name: str,
    *,
    hosts: HostList | None,
    weights: WeightCatalogue | None,
) -> tuple[Configuration | None, tuple[Finding, ...]]:
    """Check a whole configuration file; invalid content never raises.

    Args:
      text: content of the file
      file_name: file name to show in the findings
      hosts: host list, or None to skip the checks against it
      weights: catalogue of the weight store, or None to skip the checks
        against it

    Returns:
      The configuration with all defaults filled in and no findings, or None
      and all findings in order of location.
    """
    document, findings = load_document(text, file_name)
    if document is None:
        return None, findings
    surroundings = Surroundings(hosts, weights)
    configuration, found = check_document(document, file_name, surroundings)
    if findings or configuration is None:
        return None, sort_findings([*findings, *found])
    return configuration, ()


def check_decoded(
    value: object, name: str
) -> tuple[Configuration | None, tuple[Finding, ...]]:
    """Check a configuration that is already decoded from JSON.

    Args:
      value: dicts, lists and scalars
      name: shown instead of a file name in the findings

    Returns:
      As for `check`; each finding is on line 1 and begins with the path of
      the value.
    """
    document = Document(value, {}, {}, frozenset())
    return check_document(document, name, Surroundings(None, None))


def check_document(
    document: Document, file_name: str, surroundings: Surroundings
) -> tuple[Configuration | None, tuple[Finding, ...]]:
    """Check a document against the schema and for consistency."""
    schema = check_schema(document, file_name)
    if not schema.complete:
        return None, sort_findings(schema.findings)
    partial = fill_partial(document.value, schema.bad)
    report = Report(
        file_name=file_name, document=document, origins=partial.origins
    )
    check_values(
        partial.configuration,
        surroundings,
        report,
        knows_data_centres(document, schema),
    )
    found = sort_findings([*schema.findings, *report.findings])
    return (None, found) if found else (partial.configuration, ())


def knows_data_centres(document: Document, schema: SchemaReport) -> bool:
    """Return whether the list of data centres is present and valid."""
    if not isinstance(document.value, dict):
        return False
    if "data_centres" not in document.value:
        return False
    return not any(path[:1] == ("data_centres",) for path in schema.bad)
