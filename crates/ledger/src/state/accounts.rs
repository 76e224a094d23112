//! Token accounting for program budgets.
//!
//! The maximum number of tokens of a turn is charged before it runs and replaced by the number
//! used when it ends. A turn whose end is never reported stays charged with its maximum.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::commands::{ProgramId, Reservation, ReserveTurn, SettleTurn, TurnId};

/// The account of one program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Account {
    /// The sum of all charges, in tokens.
    charged: u64,
    charges: BTreeMap<TurnId, Charge>,
    keep_until_ms: u64,
}

/// The tokens charged for one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Charge {
    /// The turn has not ended; its maximum is charged.
    Reserved(u64),
    /// The turn has ended and used this many tokens.
    Settled(u64),
}

impl Charge {
    fn tokens(self) -> u64 {
        match self {
            Self::Reserved(tokens) | Self::Settled(tokens) => tokens,
        }
    }
}

/// The accounts of all programs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accounts {
    programs: BTreeMap<ProgramId, Account>,
}

impl Accounts {
    /// Charges the maximum of a turn if it fits into the program's budget.
    pub fn reserve(&mut self, reserve: &ReserveTurn, now_ms: u64) -> Reservation {
        let Some(program) = &reserve.program else {
            return Reservation::Granted;
        };
        let account = self.programs.entry(program.clone()).or_default();
        account.extend_retention(now_ms + reserve.retention_ms);
        match account.charges.get(&reserve.turn) {
            Some(Charge::Reserved(_)) => return Reservation::Granted,
            Some(Charge::Settled(_)) => return Reservation::Ended,
            None => {}
        }
        if account.charged.saturating_add(reserve.most_tokens) > reserve.budget {
            return Reservation::BudgetSpent;
        }
        account.set_charge(reserve.turn.clone(), Charge::Reserved(reserve.most_tokens));
        Reservation::Granted
    }

    /// Returns whether a reservation will be rejected for its budget for as long as its account is kept:
    /// charges of ended turns never fall.
    pub fn will_reject(&self, reserve: &ReserveTurn) -> bool {
        let has_ended = |charge: &Charge| matches!(charge, Charge::Settled(_));
        self.account_of(reserve).is_some_and(|account| {
            account.charged.saturating_add(reserve.most_tokens) > reserve.budget
                && !account.charges.contains_key(&reserve.turn)
                && account.charges.values().all(has_ended)
        })
    }

    /// Returns whether the account is kept for the retention that a reservation asks for.
    fn is_kept_for(&self, reserve: &ReserveTurn, now_ms: u64) -> bool {
        let until_ms = now_ms.saturating_add(reserve.retention_ms);
        self.account_of(reserve).is_some_and(|account| account.keep_until_ms >= until_ms)
    }

    /// Returns whether a reservation will be rejected, and need not be applied to keep the account.
    pub fn is_spent_for(&self, reserve: &ReserveTurn, now_ms: u64) -> bool {
        self.will_reject(reserve) && self.is_kept_for(reserve, now_ms)
    }

    fn account_of(&self, reserve: &ReserveTurn) -> Option<&Account> {
        self.programs.get(reserve.program.as_ref()?)
    }

    /// Replaces the charge of a turn by the tokens it used. Repeated reports are ignored.
    pub fn settle(&mut self, settle: &SettleTurn, now_ms: u64) {
        let Some(program) = &settle.program else {
            return;
        };
        let account = self.programs.entry(program.clone()).or_default();
        account.extend_retention(now_ms + settle.retention_ms);
        let has_ended = matches!(account.charges.get(&settle.turn), Some(Charge::Settled(_)));
        if !has_ended {
            account.set_charge(settle.turn.clone(), Charge::Settled(settle.used_tokens));
        }
    }

    /// Removes the accounts whose retention period has passed.
    pub fn expire(&mut self, now_ms: u64) {
        self.programs.retain(|_, account| account.keep_until_ms > now_ms);
    }

    /// Returns the tokens charged to a program.
    pub fn charged(&self, program: &str) -> u64 {
        self.programs.get(program).map_or(0, |account| account.charged)
    }

    /// Returns whether a program has another turn that is running or has generated output.
    ///
    /// Rejected turns do not count: a program whose first turn is retried after a rejection must
    /// not get the priority of a program that is already under way.
    pub fn has_other_started_turn(&self, program: &str, turn: &str) -> bool {
        let Some(account) = self.programs.get(program) else {
            return false;
        };
        let has_started = |charge: &Charge| !matches!(charge, Charge::Settled(0));
        account.charges.iter().any(|(known, charge)| known != turn && has_started(charge))
    }

    /// Returns the number of charges in all accounts.
    pub fn charges(&self) -> usize {
        self.programs.values().map(|account| account.charges.len()).sum()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}

impl Account {
    fn extend_retention(&mut self, until_ms: u64) {
        self.keep_until_ms = self.keep_until_ms.max(until_ms);
    }

    fn set_charge(&mut self, turn: TurnId, charge: Charge) {
        let previous = self.charges.insert(turn, charge).map_or(0, Charge::tokens);
        self.charged = self.charged - previous + charge.tokens();
    }
}
