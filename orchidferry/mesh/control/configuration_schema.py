"""The schema of the fields of a configuration.

Relations between fields are checked in `configuration_validation`.

This module is imported at the first validation only, as importing marshmallow is slow on a small machine.
"""

from __future__ import annotations

from marshmallow import EXCLUDE, Schema, fields, validate

ROUTE_KINDS = ("idempotent", "non_idempotent", "keyed", "download")
POSITIVE = validate.Range(min=1)
NON_NEGATIVE = validate.Range(min=0)


class LenientSchema(Schema):
    """Base of all schemas here: ignores unknown fields."""

    class Meta:
        """Options for marshmallow."""

        unknown = EXCLUDE


class SplitSchema(LenientSchema):
    """One service of a weighted split."""

    service_name = fields.String(required=True)
    share = fields.Float(required=True, validate=NON_NEGATIVE)


class CriteriaSchema(LenientSchema):
    """The conditions under which a rule applies to a request."""

    path_prefix = fields.String(
        required=True, validate=validate.Regexp(r"\A/", error="must begin with a slash")
    )


class TreatmentSchema(LenientSchema):
    """How the requests of a rule are treated."""

    service_name = fields.String()
    weighted_split = fields.List(fields.Nested(SplitSchema), validate=validate.Length(min=1))
    guard_timer_ms = fields.Float(required=True, validate=validate.Range(min=0, min_inclusive=False))
    max_attempts = fields.Integer(required=True, validate=POSITIVE)


class RuleSchema(LenientSchema):
    """One route."""

    identifier = fields.String(required=True)
    route_type = fields.String(required=True, validate=validate.OneOf(ROUTE_KINDS))
    target_ms = fields.Float(required=True, validate=NON_NEGATIVE)
    precedence = fields.Integer(validate=NON_NEGATIVE)
    criteria = fields.Nested(CriteriaSchema, required=True)
    treatment = fields.Nested(TreatmentSchema, required=True)


class AccessPointSchema(LenientSchema):
    """The routes of one host."""

    host_name = fields.String(required=True)
    rule_set = fields.List(fields.Nested(RuleSchema), required=True)


class TrunkGroupSchema(LenientSchema):
    """One service."""

    identifier = fields.String(required=True)
    health_path = fields.String()
    max_connections = fields.Integer(validate=POSITIVE)
    protocol = fields.String()
    tls = fields.Boolean()
    deduplicates = fields.Boolean()


class ConfigurationSchema(LenientSchema):
    """A complete configuration."""

    revision_number = fields.Integer(required=True, strict=True, validate=POSITIVE)
    limit_set = fields.Dict(keys=fields.String(), values=fields.Float(validate=NON_NEGATIVE))
    access_points = fields.List(fields.Nested(AccessPointSchema), required=True)
    trunk_groups = fields.List(fields.Nested(TrunkGroupSchema), required=True)
