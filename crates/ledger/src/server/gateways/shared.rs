//! Answers that are the same for all gateways, and therefore compressed and encoded only once.

use calicohoist_transport::{FrameError, SharedField};

use super::answer_kind;
use crate::compression::CompressedBytes;
use crate::protocol::{LedgerResponse, ListDigest};
use crate::server::list::DiscoverySnapshot;
use crate::state::VersionedConfiguration;

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

/// A cache of the newest configuration and list.
///
/// Sharing the encoded answers bounds the memory used when many slow gateways fetch a large
/// document.
#[derive(Debug, Default)]
pub(super) struct SharedAnswers {
    configuration: Option<(u64, SharedAnswer)>,
    list: Option<(ListDigest, SharedAnswer)>,
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

    /// Returns the answer with this list.
    pub(super) fn list(
        &mut self,
        discovery: &DiscoverySnapshot,
    ) -> Result<SharedAnswer, FrameError> {
        if let Some((mark, answer)) = &self.list
            && *mark == discovery.mark
        {
            return Ok(answer.clone());
        }
        let list = discovery.list.as_ref().clone();
        let answer = SharedAnswer::encode(&LedgerResponse::List { mark: discovery.mark, list })?;
        self.list = Some((discovery.mark, answer.clone()));
        Ok(answer)
    }
}
