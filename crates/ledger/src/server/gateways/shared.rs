//! Answers that are the same for all gateways, and therefore compressed and encoded only once.

use std::collections::HashMap;

use calicohoist_routing::ListPatch;
use calicohoist_telemetry::metrics::Counter;
use calicohoist_transport::{FrameError, SharedField};

use super::answer_kind;
use crate::compression::CompressedBytes;
use crate::protocol::{LedgerResponse, ListDigest, Packed};
use crate::server::list::DiscoverySnapshot;
use crate::state::VersionedConfiguration;

static LISTS_ENCODED: Counter = Counter::new(
    "calicohoist_ledger_lists_encoded_total",
    "Lists compared and encoded for gateways, each for all of them together",
    "form",
);

/// An encoded answer, shared by all connections.
#[derive(Clone, Debug)]
pub(super) struct SharedAnswer {
    pub(super) encoded: SharedField,
    pub(super) kind: &'static str,
}

impl SharedAnswer {
    fn encode(answer: &LedgerResponse) -> Result<Self, FrameError> {
        Ok(Self { encoded: SharedField::encode(answer)?, kind: answer_kind(answer) })
    }
}

/// Answers that lead to one list.
#[derive(Debug, Default)]
struct ListAnswers {
    mark: ListDigest,
    /// The list as sent to gateways that do not support packed lists.
    plain: Option<SharedAnswer>,
    packed: Option<SharedAnswer>,
    /// Changes by the list that the gateway has.
    changes: HashMap<ListDigest, SharedAnswer>,
}

/// A cache of the newest configuration and list.
///
/// Sharing the encoded answers bounds the memory used when many slow gateways fetch a large
/// document.
#[derive(Debug, Default)]
pub(super) struct SharedAnswers {
    configuration: Option<(u64, SharedAnswer)>,
    list: ListAnswers,
}

impl SharedAnswers {
    /// Returns the answer with this configuration.
    pub(super) fn configuration(
        &mut self,
        configuration: &VersionedConfiguration,
    ) -> Result<SharedAnswer, FrameError> {
        if let Some((version, answer)) = &self.configuration
            && *version == configuration.version
        {
            return Ok(answer.clone());
        }
        let document = CompressedBytes::compress(&configuration.document);
        let answer = SharedAnswer::encode(&LedgerResponse::Configuration {
            version: configuration.version,
            document,
        })?;
        self.configuration = Some((configuration.version, answer.clone()));
        Ok(answer)
    }

    /// Returns the answer with this list for gateways that do not support packed lists.
    pub(super) fn plain_list(
        &mut self,
        discovery: &DiscoverySnapshot,
    ) -> Result<SharedAnswer, FrameError> {
        let answers = self.list_answers(discovery);
        if let Some(answer) = &answers.plain {
            return Ok(answer.clone());
        }
        LISTS_ENCODED.inc("plain");
        let list = discovery.list.as_ref().clone();
        let answer = SharedAnswer::encode(&LedgerResponse::List { mark: discovery.mark, list })?;
        Ok(answers.plain.insert(answer).clone())
    }

    /// Returns the answer that leads from the list that a gateway has to this one: the changes if
    /// that list is known here, else the whole list.
    pub(super) fn list(
        &mut self,
        discovery: &DiscoverySnapshot,
        since: ListDigest,
    ) -> Result<SharedAnswer, FrameError> {
        let answers = self.list_answers(discovery);
        if let Some(answer) = answers.changes.get(&since) {
            return Ok(answer.clone());
        }
        let Some(earlier) = discovery.earlier_list(since) else {
            return answers.packed(discovery);
        };
        LISTS_ENCODED.inc("compared");
        let patch = ListPatch::between(&earlier.replicas, &discovery.list.replicas);
        let answer = if patch.is_complete() {
            answers.packed(discovery)?
        } else {
            LISTS_ENCODED.inc("changes");
            SharedAnswer::encode(&LedgerResponse::ListChanges {
                since,
                mark: discovery.mark,
                patch: Packed::pack(&patch)?,
            })?
        };
        answers.changes.insert(since, answer.clone());
        Ok(answer)
    }

    fn list_answers(&mut self, discovery: &DiscoverySnapshot) -> &mut ListAnswers {
        if self.list.mark != discovery.mark {
            self.list = ListAnswers { mark: discovery.mark, ..ListAnswers::default() };
        }
        &mut self.list
    }
}

impl ListAnswers {
    fn packed(&mut self, discovery: &DiscoverySnapshot) -> Result<SharedAnswer, FrameError> {
        if let Some(answer) = &self.packed {
            return Ok(answer.clone());
        }
        LISTS_ENCODED.inc("packed");
        let answer = SharedAnswer::encode(&LedgerResponse::PackedList {
            mark: discovery.mark,
            replicas: Packed::pack(&discovery.list.replicas)?,
        })?;
        Ok(self.packed.insert(answer).clone())
    }
}
