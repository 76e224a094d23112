//! Differences between two versions of the replica list.
//!
//! A patch has the size of the changes, whatever the length of the list. It reproduces the order of
//! the new list, which load reports refer to.

use std::collections::HashMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::replica::Replica;

/// One step of building the new list, in its order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ListEdit {
    /// Copies replicas of the old list.
    Copy {
        /// Position of the first one.
        from: u32,
        /// Number of replicas.
        count: u32,
    },
    /// Adds a replica that is new or has changed.
    Insert(Replica),
}

/// Builds a new list from an old one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPatch {
    /// Length of the old list.
    old_len: u32,
    edits: Vec<ListEdit>,
}

/// A part of the new list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListPart {
    /// Replicas at these positions of the old list, unchanged.
    Copied(Range<usize>),
    /// A replica that is new or has changed.
    Inserted(Replica),
}

/// A patch that does not fit the old list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The old list has another length.
    #[error("patch for a list of {expected} replicas applied to one of {found}")]
    OtherList {
        /// Length of the list that the patch was made for.
        expected: usize,
        /// Length of the list that it was applied to.
        found: usize,
    },
    /// A copied range exceeds the old list.
    #[error("patch copies replicas beyond the end of the list")]
    OutOfRange,
}

impl ListPatch {
    /// Computes the patch that turns `old` into `new`.
    pub fn between(old: &[Replica], new: &[Replica]) -> Self {
        let positions: HashMap<&str, usize> =
            old.iter().enumerate().map(|(at, replica)| (replica.id.as_str(), at)).collect();
        let mut edits = Vec::new();
        for replica in new {
            let known = positions.get(replica.id.as_str()).copied();
            match known.filter(|at| old[*at] == *replica) {
                Some(at) => push_copy(&mut edits, at as u32),
                None => edits.push(ListEdit::Insert(replica.clone())),
            }
        }
        Self { old_len: old.len() as u32, edits }
    }

    /// Returns the parts of the new list in order.
    ///
    /// # Errors
    /// When the patch was made for another list than one of `old_len` replicas.
    pub fn parts(self, old_len: usize) -> Result<Vec<ListPart>, PatchError> {
        let expected = self.old_len as usize;
        if expected != old_len {
            return Err(PatchError::OtherList { expected, found: old_len });
        }
        let part = |edit| match edit {
            ListEdit::Insert(replica) => Ok(ListPart::Inserted(replica)),
            ListEdit::Copy { from, count } => {
                let (from, count) = (from as usize, count as usize);
                let is_valid = from + count <= old_len;
                is_valid
                    .then_some(ListPart::Copied(from..from + count))
                    .ok_or(PatchError::OutOfRange)
            }
        };
        self.edits.into_iter().map(part).collect()
    }

    /// Returns the replicas that are new or have changed, in the order of the new list.
    pub fn inserted(&self) -> impl Iterator<Item = &Replica> {
        self.edits.iter().filter_map(|edit| match edit {
            ListEdit::Insert(replica) => Some(replica),
            ListEdit::Copy { .. } => None,
        })
    }

    /// Returns the replicas that are new or have changed, in the order of the new list.
    pub fn inserted_mut(&mut self) -> impl Iterator<Item = &mut Replica> {
        self.edits.iter_mut().filter_map(|edit| match edit {
            ListEdit::Insert(replica) => Some(replica),
            ListEdit::Copy { .. } => None,
        })
    }

    /// Returns whether the patch contains every replica anew.
    pub fn is_complete(&self) -> bool {
        self.edits.iter().all(|edit| matches!(edit, ListEdit::Insert(_)))
    }
}

/// Adds the position of an unchanged replica, extending the last copied range if possible.
fn push_copy(edits: &mut Vec<ListEdit>, at: u32) {
    if let Some(ListEdit::Copy { from, count }) = edits.last_mut()
        && *from + *count == at
    {
        *count += 1;
        return;
    }
    edits.push(ListEdit::Copy { from: at, count: 1 });
}
