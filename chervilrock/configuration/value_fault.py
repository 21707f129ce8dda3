"""Translates schema validation errors into messages for operators."""

from typing import Any, cast

from jsonschema.exceptions import ValidationError

from chervilrock.configuration.findings import (
    Fault,
    FindingCode,
    quote_value,
    suggest_name,
)
from chervilrock.configuration.scalars import OddScalar

TYPE_NAMES = {
    "string": "a text",
    "integer": "a whole number",
    "number": "a number",
    "boolean": "true or false",
    "array": "a list",
    "object": "a mapping",
}
RANGE_WORDS = {
    "minimum": "less than the least value",
    "maximum": "greater than the greatest value",
    "minLength": "shorter than the least length",
    "maxLength": "longer than the greatest length",
    "minItems": "shorter than the least length",
    "maxItems": "longer than the greatest length",
}
QUOTE_HINT = "write it in quotes"
NUMBER_HINT = "write a plain decimal number"


def describe_fault(error: ValidationError, text: str) -> Fault:
    """Return the fault for one schema validation error.

    Args:
      error: the validation error
      text: the scalar as written; empty for a list or mapping and if the
        document was already decoded
    """
    if not text and isinstance(error.instance, int | float):
        text = str(error.instance)
    if error.validator == "type":
        return describe_type(error.instance, str(error.validator_value), text)
    if error.validator == "enum":
        return describe_choice(
            error.instance, cast(list[str], error.validator_value)
        )
    if error.validator == "pattern":
        return describe_form(error.instance, error.schema)
    words = RANGE_WORDS.get(str(error.validator), "not permitted, see")
    subject = "list"
    if not isinstance(error.instance, list):
        subject = quote_value(error.instance)
    return Fault(
        FindingCode.OUT_OF_RANGE,
        f"{subject} is {words} {error.validator_value}",
    )


def describe_type(value: object, wanted: str, text: str) -> Fault:
    """Return the fault for a value of the wrong type."""
    name = TYPE_NAMES[wanted]
    if value is None and text == "":
        return Fault(
            FindingCode.WRONG_TYPE,
            f"no value, but {name} is wanted",
            "write a value, or leave the key out for its default",
        )
    if isinstance(value, list | dict):
        found = TYPE_NAMES["array" if isinstance(value, list) else "object"]
        return Fault(FindingCode.WRONG_TYPE, f"{found}, but {name} is wanted")
    if wanted == "string":
        return describe_unquoted(value, text)
    if isinstance(value, OddScalar):
        return Fault(
            FindingCode.AMBIGUOUS_VALUE,
            f"{quote_value(text)} is {value.kind}, but {name} is wanted",
            NUMBER_HINT if wanted in ("integer", "number") else "",
        )
    return Fault(
        FindingCode.WRONG_TYPE,
        f"{quote_value(text)}, but {name} is wanted",
        hint_number(value) if wanted in ("integer", "number") else "",
    )


def describe_unquoted(value: object, text: str) -> Fault:
    """Return the fault for an unquoted text that YAML reads as another type."""
    if isinstance(value, OddScalar):
        reading = str(value.kind)
    elif isinstance(value, bool):
        reading = "a truth value"
    elif value is None:
        reading = "an empty value"
    else:
        reading = "a number"
    return Fault(
        FindingCode.UNQUOTED_TEXT,
        f"YAML reads {quote_value(text)} as {reading}, but a text is wanted",
        f'{QUOTE_HINT}: "{text}"' if text.isprintable() else QUOTE_HINT,
    )


def hint_number(value: object) -> str:
    """Return a hint for a string given instead of a number."""
    if not isinstance(value, str):
        return ""
    try:
        float(value)
    except ValueError:
        return NUMBER_HINT if value[:1].isdigit() else ""
    return f"{NUMBER_HINT} without quotes"


def describe_choice(value: object, choices: list[str]) -> Fault:
    """Return the fault for a value that is not one of the choices."""
    hint = suggest_name(value, choices) if isinstance(value, str) else ""
    return Fault(
        FindingCode.UNKNOWN_CHOICE,
        f"{quote_value(value)} is none of {', '.join(choices)}",
        hint,
    )


def describe_form(value: object, schema: Any) -> Fault:
    """Return the fault for a text that does not match the pattern."""
    form = " ".join(str(schema.get("x-form", schema["pattern"])).split())
    return Fault(
        FindingCode.BAD_FORM,
        f"{quote_value(value)} does not have the wanted form",
        f"wanted: {form}",
    )
