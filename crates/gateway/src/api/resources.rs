//! The resource API for operators.

use calicohoist_http::Exchange;
use calicohoist_store::commands::resource::{ResourceCommand, ResourceOutput};
use calicohoist_store::queries::resource::{ResourceAnswer, ResourceQuery, UpdateContent};
use calicohoist_store::state::RESOURCE_GROUP;
use calicohoist_store::{Answer, Command, Output, Query, StoreReply, StoreRequest};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{
    Finding, RequestId, Resource, ResourceKey, ResourceKind, ResourceSpec, Revision, is_valid_name,
};
use rand::RngExt;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::errors::ApiError;
use super::{ApiHandler, Reply};

/// Header that identifies a change across resends.
pub const HEADER_REQUEST: &str = "calicohoist-request";
/// Header that names the author of a change.
pub const HEADER_ACTOR: &str = "calicohoist-actor";
const DEFAULT_PAGE: usize = 100;

impl ApiHandler {
    pub(super) fn get_resource(&self, kind: &str, name: &str) -> Result<Reply, ApiError> {
        let key = parse_key(kind, name)?;
        match self.resource_query(ResourceQuery::Get(key))? {
            ResourceAnswer::Resource(Some(resource)) => Ok(Reply::ok(resource_json(&resource))),
            _ => Err(ApiError::not_found(kind, name)),
        }
    }

    pub(super) fn list_resources(
        &self,
        exchange: &Exchange,
        kind: &str,
    ) -> Result<Reply, ApiError> {
        let kind = parse_kind(kind)?;
        let query = ResourceQuery::List {
            kind,
            after: exchange.query("after").map(str::to_owned),
            limit: parse_number(exchange, "limit")?.unwrap_or(DEFAULT_PAGE),
        };
        match self.resource_query(query)? {
            ResourceAnswer::Page { resources, has_more, revision } => {
                let items: Vec<Value> = resources.iter().map(resource_json).collect();
                let next = resources.last().filter(|_| has_more);
                let next = next.map(|resource| resource.key.name.clone());
                Ok(Reply::ok(json!({ "items": items, "next": next, "revision": revision })))
            }
            _ => Err(ApiError::store_unavailable()),
        }
    }

    /// Lists the changes after a revision. If they are no longer kept, returns the full
    /// state with `whole` set instead.
    pub(super) fn list_changes(&self, exchange: &Exchange) -> Result<Reply, ApiError> {
        let after = parse_number(exchange, "after")?.unwrap_or(0) as u64;
        let query = ResourceQuery::Changes {
            after: Revision(after),
            limit: parse_number(exchange, "limit")?.unwrap_or(DEFAULT_PAGE),
        };
        let ResourceAnswer::Changes(update) = self.resource_query(query)? else {
            return Err(ApiError::store_unavailable());
        };
        let revision = update.revision;
        let body = match update.content {
            UpdateContent::Whole(resources) => {
                let items: Vec<Value> = resources.iter().map(resource_json).collect();
                json!({ "revision": revision, "whole": true, "items": items })
            }
            UpdateContent::Changes(changes) => {
                let changes: Vec<Value> = changes
                    .into_iter()
                    .map(|change| {
                        json!({
                            "revision": change.revision,
                            "kind": change.key.kind,
                            "name": change.key.name,
                            "after": change.after.as_ref().map(resource_json),
                            "actor": change.actor,
                            "at_unix_millis": change.at,
                        })
                    })
                    .collect();
                json!({ "revision": revision, "whole": false, "changes": changes })
            }
        };
        Ok(Reply::ok(body))
    }

    pub(super) fn put_resource(
        &self,
        exchange: &mut Exchange,
        kind: &str,
        name: &str,
    ) -> Result<Reply, ApiError> {
        let key = parse_key(kind, name)?;
        let mut command = parse_command(exchange, key)?;
        let body: Value = exchange.read_json()?;
        let spec = parse_spec(command.key.kind, body)?;
        let findings = spec.validate();
        if !findings.is_empty() {
            emit!(Event::ChangeRefused, "{}: {} findings", command.key, findings.len());
            return Err(ApiError::invalid(findings));
        }
        if exchange.query("dry_run") == Some("true") {
            return Ok(Reply::ok(json!({ "kind": kind, "name": name, "dry_run": true })));
        }
        command.spec = Some(spec);
        self.apply_change(command)
    }

    pub(super) fn delete_resource(
        &self,
        exchange: &Exchange,
        kind: &str,
        name: &str,
    ) -> Result<Reply, ApiError> {
        let key = parse_key(kind, name)?;
        let command = parse_command(exchange, key)?;
        self.apply_change(command)
    }

    fn apply_change(&self, command: ResourceCommand) -> Result<Reply, ApiError> {
        let key = command.key.clone();
        let request = StoreRequest::Command(RESOURCE_GROUP, Command::Resource(command));
        let StoreReply::Output(Output::Resource(output)) = self.store_request(request)? else {
            return Err(ApiError::store_unavailable());
        };
        match output {
            ResourceOutput::Stored(resource) => {
                emit!(Event::ChangeAccepted, "{key} at revision {}", resource.version);
                Ok(Reply::ok(resource_json(&resource)))
            }
            ResourceOutput::Deleted(revision) => {
                emit!(Event::ChangeAccepted, "{key} deleted at revision {revision}");
                Ok(Reply::ok(json!({ "deleted": true, "revision": revision })))
            }
            ResourceOutput::Conflict(current) => {
                emit!(Event::ChangeRefused, "{key}: version conflict");
                let current = current.as_ref().map(resource_json);
                Err(ApiError::version_conflict(current.unwrap_or(Value::Null)))
            }
            ResourceOutput::Missing => Err(ApiError::not_found(key.kind.as_str(), &key.name)),
        }
    }

    pub(super) fn fleet_status(&self) -> Result<Reply, ApiError> {
        let StoreReply::FleetStatus(status) = self.store_request(StoreRequest::FleetStatus)? else {
            return Err(ApiError::store_unavailable());
        };
        let nodes: Vec<Value> = status
            .nodes
            .iter()
            .map(|(node, revision)| json!({ "node": node.node, "revision": revision }))
            .collect();
        let body = json!({
            "revision": status.revision,
            "in_force": status.in_force,
            "nodes": nodes,
        });
        Ok(Reply::ok(body))
    }

    pub(super) fn group_status(&self) -> Result<Reply, ApiError> {
        let StoreReply::GroupStatus(groups) = self.store_request(StoreRequest::GroupStatus)? else {
            return Err(ApiError::store_unavailable());
        };
        Ok(Reply::ok(json!({ "groups": groups })))
    }

    fn resource_query(&self, query: ResourceQuery) -> Result<ResourceAnswer, ApiError> {
        let request = StoreRequest::Query(RESOURCE_GROUP, Query::Resource(query));
        match self.store_request(request)? {
            StoreReply::Answer(Answer::Resource(answer)) => Ok(answer),
            _ => Err(ApiError::store_unavailable()),
        }
    }
}

fn resource_json(resource: &Resource) -> Value {
    let spec = match &resource.spec {
        ResourceSpec::Model(spec) => serde_json::to_value(spec),
        ResourceSpec::Engine(spec) => serde_json::to_value(spec),
        ResourceSpec::Service(spec) => serde_json::to_value(spec),
        ResourceSpec::Tenant(spec) => serde_json::to_value(spec),
    };
    json!({
        "kind": resource.key.kind,
        "name": resource.key.name,
        "version": resource.version,
        "spec": spec.unwrap_or_default(),
    })
}

/// Parses the spec of a resource of `kind`.
///
/// # Errors
/// Returns a finding for a field that is missing, unknown or of the wrong type.
pub fn parse_spec(kind: ResourceKind, body: Value) -> Result<ResourceSpec, ApiError> {
    match kind {
        ResourceKind::Model => deserialize_spec(body).map(ResourceSpec::Model),
        ResourceKind::Engine => deserialize_spec(body).map(ResourceSpec::Engine),
        ResourceKind::Service => deserialize_spec(body).map(ResourceSpec::Service),
        ResourceKind::Tenant => deserialize_spec(body).map(ResourceSpec::Tenant),
    }
}

fn deserialize_spec<T: DeserializeOwned>(body: Value) -> Result<T, ApiError> {
    serde_json::from_value(body).map_err(|error| {
        ApiError::invalid_field("spec", error.to_string(), "the fields in docs/API.md")
    })
}

fn parse_kind(kind: &str) -> Result<ResourceKind, ApiError> {
    ResourceKind::parse(kind).ok_or_else(|| ApiError::not_found("kind", kind))
}

fn parse_key(kind: &str, name: &str) -> Result<ResourceKey, ApiError> {
    let kind = parse_kind(kind)?;
    if !is_valid_name(name) {
        let accepted = "1 to 128 letters, digits, '-', '_', '.' or ':'";
        return Err(ApiError::invalid_field("name", format!("{name:?} is not a name"), accepted));
    }
    Ok(ResourceKey { kind, name: name.to_owned() })
}

fn parse_command(exchange: &Exchange, key: ResourceKey) -> Result<ResourceCommand, ApiError> {
    let mut findings = Vec::new();
    let expected = parse_number(exchange, "version")?.map(|version| Revision(version as u64));
    let random = || format!("auto-{:016x}", rand::rng().random::<u64>());
    let request = exchange.header(HEADER_REQUEST).map_or_else(random, str::to_owned);
    if !is_valid_name(&request) {
        findings.push(Finding::of_field(
            HEADER_REQUEST,
            "is not a name",
            "1 to 128 letters or digits",
        ));
    }
    let actor = exchange.header(HEADER_ACTOR).unwrap_or("operator").to_owned();
    if !findings.is_empty() {
        return Err(ApiError::invalid(findings));
    }
    Ok(ResourceCommand { key, spec: None, expected, request: RequestId::new(request), actor })
}

fn parse_number(exchange: &Exchange, name: &str) -> Result<Option<usize>, ApiError> {
    let Some(text) = exchange.query(name) else {
        return Ok(None);
    };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| {
        ApiError::invalid_field(name, format!("{text:?} is not a number"), "a whole number")
    })
}
