"""Checks a configuration file: text, schema, cross-checks and defaults."""

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
    """Check a configuration file as a whole; never raises for its content.

    Args:
      text: content of the file
      file_name: name for the findings
      hosts: host list, None to skip the checks against it
      weights: catalogue of the weight store, None to skip

    Returns:
      The configuration with every key and no findings, or None and all
      findings in the order of their places.
    """
    document, findings = load_document(text, file_name)
    if document is None:
        return None, findings
    schema = check_schema(document, file_name)
    if not schema.complete:
        return None, sort_findings([*findings, *schema.findings])
    partial = fill_partial(document.value, schema.bad)
    report = Report(
        file_name=file_name, document=document, origins=partial.origins
    )
    check_values(
        partial.configuration,
        Surroundings(hosts, weights),
        report,
        knows_data_centres(document, schema),
    )
    found = sort_findings([*findings, *schema.findings, *report.findings])
    return (None, found) if found else (partial.configuration, ())


def knows_data_centres(document: Document, schema: SchemaReport) -> bool:
    """Tell whether the list of data centres is there without faults."""
    if not isinstance(document.value, dict):
        return False
    if "data_centres" not in document.value:
        return False
    return not any(path[:1] == ("data_centres",) for path in schema.bad)
