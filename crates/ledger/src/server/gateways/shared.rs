//! Answers that are the same for all gateways, and therefore compressed and encoded only once.

use std::collections::HashMap;

use calicohoist_routing::ListPatch;
use calicohoist_telemetry::metrics::Counter;
use calicohoist_transport::{FrameError, SharedField};

use super::answer_kind;
use crate::protocol::{LedgerResponse, ListDigest, Packed, VersionedReplicas};
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

/// Form in which a gateway receives lists, by the protocol version that it supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ListForm {
    /// Whole lists, not compressed.
    Plain,
    /// Packed lists, or changes since a known list.
    Packed,
    /// As [`Self::Packed`], with software versions.
    Versioned,
}

/// Answers that lead to one list.
#[derive(Debug, Default)]
struct ListAnswers {
    mark: ListDigest,
    /// The whole list.
    whole: HashMap<ListForm, SharedAnswer>,
    /// Changes by the list that the gateway has.
    changes: HashMap<(ListForm, ListDigest), SharedAnswer>,
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
        let document = configuration.document.compressed();
        let answer = SharedAnswer::encode(&LedgerResponse::Configuration {
            version: configuration.version,
            document,
        })?;
        self.configuration = Some((configuration.version, answer.clone()));
        Ok(answer)
    }

    /// Returns the answer that leads from the list that a gateway has to this one: the changes if
    /// that list is known here and the form allows it, else the whole list.
    pub(super) fn list(
        &mut self,
        discovery: &DiscoverySnapshot,
        form: ListForm,
        since: ListDigest,
    ) -> Result<SharedAnswer, FrameError> {
        let answers = self.list_answers(discovery);
        if let Some(answer) = answers.changes.get(&(form, since)) {
            return Ok(answer.clone());
        }
        let earlier = discovery.earlier_list(since).filter(|_| form != ListForm::Plain);
        let Some(earlier) = earlier else {
            return answers.whole(discovery, form);
        };
        LISTS_ENCODED.inc("compared");
        let patch = ListPatch::between(&earlier.replicas, &discovery.list.replicas);
        let answer = if patch.is_complete() {
            answers.whole(discovery, form)?
        } else {
            LISTS_ENCODED.inc("changes");
            SharedAnswer::encode(&changes_answer(since, discovery.mark, patch, form)?)?
        };
        answers.changes.insert((form, since), answer.clone());
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
    fn whole(
        &mut self,
        discovery: &DiscoverySnapshot,
        form: ListForm,
    ) -> Result<SharedAnswer, FrameError> {
        if let Some(answer) = self.whole.get(&form) {
            return Ok(answer.clone());
        }
        let mark = discovery.mark;
        let replicas = &discovery.list.replicas;
        let answer = match form {
            ListForm::Plain => {
                LISTS_ENCODED.inc("plain");
                LedgerResponse::List { mark, list: discovery.list.as_ref().clone() }
            }
            ListForm::Packed => {
                LISTS_ENCODED.inc("packed");
                LedgerResponse::PackedList { mark, replicas: Packed::pack(replicas)? }
            }
            ListForm::Versioned => {
                LISTS_ENCODED.inc("packed");
                let replicas = Packed::pack(&VersionedReplicas::new(replicas))?;
                LedgerResponse::VersionedList { mark, replicas }
            }
        };
        let answer = SharedAnswer::encode(&answer)?;
        self.whole.insert(form, answer.clone());
        Ok(answer)
    }
}

fn changes_answer(
    since: ListDigest,
    mark: ListDigest,
    patch: ListPatch,
    form: ListForm,
) -> Result<LedgerResponse, FrameError> {
    if form == ListForm::Versioned {
        let patch = Packed::pack(&patch.into())?;
        return Ok(LedgerResponse::VersionedChanges { since, mark, patch });
    }
    Ok(LedgerResponse::ListChanges { since, mark, patch: Packed::pack(&patch)? })
}
